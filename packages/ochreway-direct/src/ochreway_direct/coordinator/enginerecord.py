# SPDX-License-Identifier: Apache-2.0
"""State of one engine as the coordinator knows it."""

from dataclasses import dataclass, field, replace

from ochreway_core.ids import NO_EPOCH, DomainId, Epoch, GroupId, InstanceId
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership, proven_model
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.order import Order, Stage

NEVER_S = -1.0e9


@dataclass(frozen=True, slots=True)
class Departure:
    """Group that an engine has left, and the time until which its reports may still name it."""

    group: GroupId
    epoch: Epoch
    until_s: float


@dataclass(slots=True)
class EngineRecord:
    """Last state of an engine, its probes, and the last order that was sent to it.

    ``displaced``: the engine has ended, and another instance answers at its address.
    ``backed_off``: the engine requested a backoff, and gets no orders until it answers again.
    ``last_model`` is the model that the engine can rejoin without its weights staged, if known.
    ``joining_since_s`` is when the join under way was first reported. ``missed_since_s`` is when
    the first of the current ``misses`` was probed, ``answered_s`` when the last answered probe was
    sent. ``newest_join`` is the epoch of the latest join sent. ``orders_taken`` is how many orders
    the engine has taken, or None until a report probed at ``orders_settled_s`` or later tells it;
    earlier reports may lack the latest orders.
    """

    listed: ListedTarget
    state: EngineState
    observed_s: float = NEVER_S
    probed_s: float = NEVER_S
    misses: int = 0
    missed_since_s: float = NEVER_S
    answered_s: float = NEVER_S
    suspected: bool = False
    dead: bool = False
    displaced: bool = False
    backed_off: bool = False
    unlisted_since_s: float | None = None
    pending_order: Order | None = None
    last_order: Order | None = None
    last_ordered_s: float = NEVER_S
    last_model: ModelName | None = None
    last_model_until_s: float = NEVER_S
    joining_since_s: float = NEVER_S
    staging: ModelName | None = None
    staging_until_s: float = NEVER_S
    order_accepted: bool = False
    newest_join: Epoch = NO_EPOCH
    orders_taken: int | None = None
    orders_settled_s: float = NEVER_S
    change_expected_s: float = NEVER_S
    departure: Departure | None = None
    listed_change_due_s: float = NEVER_S
    cold_until_s: float = NEVER_S
    probe_pending: bool = field(default=False)

    @property
    def instance(self) -> InstanceId:
        """Return the engine's instance."""
        return self.listed.instance

    @property
    def service(self) -> ServiceName:
        """Return the engine's service."""
        return self.listed.service

    @property
    def domain(self) -> DomainId:
        """Return the engine's fabric domain."""
        return self.state.domain

    @property
    def membership(self) -> Membership | None:
        """Return the membership that was last reported."""
        return self.state.membership

    @property
    def leaving(self) -> bool:
        """Return whether the engine announced that it leaves, or is no longer listed."""
        return self.listed.leaving or self.state.leaving or self.unlisted_since_s is not None

    @property
    def usable(self) -> bool:
        """Return whether the engine can become a member."""
        unavailable = self.dead or self.leaving or self.backed_off
        return not unavailable and self.observed_s > NEVER_S

    @property
    def loading(self) -> bool:
        """Return whether the engine is loading weights, according to its report or an order."""
        return self.staging is not None or self.state.busy

    @property
    def group_order_pending(self) -> bool:
        """Return whether an order that changes the engine's group is in progress."""
        return self.pending_order is not None and not isinstance(self.pending_order, Stage)

    def belongs_to(self, group: GroupId, epoch: Epoch) -> bool:
        """Return whether the engine's last report names this group and epoch."""
        member_of = self.membership
        return member_of is not None and member_of.group == group and member_of.epoch == epoch

    def holds_rank(self, group: GroupId, epoch: Epoch, rank: int) -> bool:
        """Return whether the engine's last report names this group, epoch and rank.

        Reports do not name their sender. A report with another rank comes from another member,
        which has started at this engine's address.
        """
        member_of = self.membership
        return member_of is not None and self.belongs_to(group, epoch) and member_of.rank == rank

    def begin_staging(self, model: ModelName, until_s: float) -> None:
        """Record that the engine is loading a model's weights, until ``until_s`` at the latest."""
        self.staging = model
        self.staging_until_s = until_s

    def assume_left(self, group: GroupId, epoch: Epoch, until_s: float) -> None:
        """Assume that the engine has left a group; reports may still name it until ``until_s``."""
        self.departure = Departure(group, epoch, until_s)
        if self.belongs_to(group, epoch):
            self.state = replace(self.state, membership=None)

    def assume_joined(self, model: ModelName, until_s: float) -> None:
        """Assume that the engine joins a model; reports may show the former one until ``until_s``.

        The engine can no longer rejoin the former model without loading weights. Whether it has
        those of the joined one is proved only by the end of the join.
        """
        if self.last_model != model:
            self.last_model = None
        self.last_model_until_s = until_s

    def count_order(self, settled_s: float) -> None:
        """Count an order that the engine has begun; reports show it from ``settled_s`` on."""
        if self.orders_taken is not None:
            self.orders_taken += 1
        self.orders_settled_s = settled_s

    def forget_orders(self, settled_s: float) -> None:
        """Discard a count that the engine refused; a report probed at ``settled_s`` has its own."""
        self.orders_taken = None
        self.orders_settled_s = settled_s

    def _observe_orders(self, state: EngineState, asked_s: float) -> None:
        restarted = state.born_ms != self.state.born_ms
        if restarted or asked_s >= self.orders_settled_s:
            self.orders_taken = state.orders_taken
        elif self.orders_taken is not None:
            self.orders_taken = max(self.orders_taken, state.orders_taken)

    def update_listing(self, listed: ListedTarget, now_s: float) -> None:
        """Apply the engine's row; a changed cold time counts from now."""
        if listed.cold_s > 0.0 and listed.cold_s != self.listed.cold_s:
            self.cold_until_s = now_s + listed.cold_s
        self.displaced = self.displaced and listed.address == self.listed.address
        self.listed = listed
        self.unlisted_since_s = None

    def mark_displaced(self) -> None:
        """Record that the engine has ended and another instance answers at its address."""
        self.displaced = self.dead = True

    def has_unreported_change(self, now_s: float) -> bool:
        """Return whether the list showed a change that no report has shown yet."""
        return self.observed_s < self.listed_change_due_s <= now_s

    def changed_by(self, state: EngineState) -> bool:
        """Return whether a report differs in anything that planning uses, apart from load."""
        known = self.state
        return self.observed_s <= NEVER_S or (
            state.membership,
            state.model,
            state.staged,
            state.busy,
            state.domain,
            state.pace,
            state.leaving,
        ) != (
            known.membership,
            known.model,
            known.staged,
            known.busy,
            known.domain,
            known.pace,
            known.leaving,
        )

    def observe(self, state: EngineState, asked_s: float) -> None:
        """Apply the engine's own report, except for a group that it has left since."""
        if _joining_group(state) != _joining_group(self.state) or self.joining_since_s <= NEVER_S:
            self.joining_since_s = asked_s
        self._observe_orders(state, asked_s)
        self.state = state
        self.observed_s = asked_s
        if state.membership is not None and asked_s >= self.last_model_until_s:
            phase = state.membership.phase
            self.last_model = proven_model(self.last_model, state.model, phase)
        if self.departure is not None and asked_s < self.departure.until_s:
            self.assume_left(self.departure.group, self.departure.epoch, self.departure.until_s)

    def is_late_to_join(self, model: ModelName, join_s: float) -> bool:
        """Return whether the engine loads a model's weights in place of a join within ``join_s``.

        Its reports show the join, a load and no staged weights of the model.
        """
        loads = self.state.busy and model not in self.state.staged
        joins = _joining_group(self.state) is not None
        return loads and joins and self.observed_s - self.joining_since_s > join_s

    def can_join(self, model: ModelName) -> bool:
        """Return whether the engine can join a group of a model without loading weights.

        An engine that is loading other weights has to finish that first, unless its last group was
        of this model.
        """
        return self.last_model == model or (model in self.state.staged and not self.loading)


def _joining_group(state: EngineState) -> tuple[GroupId, Epoch] | None:
    member_of = state.membership
    if member_of is None or member_of.phase is not MemberPhase.JOINING:
        return None
    return member_of.group, member_of.epoch


__all__ = ["NEVER_S", "EngineRecord"]
