# SPDX-License-Identifier: Apache-2.0
"""What the coordinator knows of one engine."""

from dataclasses import dataclass, field, replace

from ochreway_core.ids import DomainId, Epoch, GroupId, InstanceId
from ochreway_direct.enginestate import EngineState, Membership
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.order import Order, Stage

NEVER_S = -1.0e9


@dataclass(frozen=True, slots=True)
class Departure:
    """Name a group that an engine has left, and until when its reports may still name it."""

    group: GroupId
    epoch: Epoch
    until_s: float


@dataclass(slots=True)
class EngineRecord:
    """Hold an engine's last state, how it answers, and the order it was last given.

    A ``displaced`` one has ended, and another instance answers at its address. One ``backed_off``
    asked to be left alone, and is given no orders until it has answered again. The first of its
    ``misses`` in a row was asked at ``missed_since_s``, what it last answered at ``answered_s``.
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
    staging: ModelName | None = None
    staging_until_s: float = NEVER_S
    order_accepted: bool = False
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
        """Return the service that the engine belongs to."""
        return self.listed.service

    @property
    def domain(self) -> DomainId:
        """Return the fabric domain of the engine."""
        return self.state.domain

    @property
    def membership(self) -> Membership | None:
        """Return the membership that was last seen."""
        return self.state.membership

    @property
    def leaving(self) -> bool:
        """Tell whether the engine has said in its row or a report that it leaves, or is gone."""
        return self.listed.leaving or self.state.leaving or self.unlisted_since_s is not None

    @property
    def usable(self) -> bool:
        """Tell whether the engine may become a member."""
        unavailable = self.dead or self.leaving or self.backed_off
        return not unavailable and self.observed_s > NEVER_S

    @property
    def loading(self) -> bool:
        """Tell whether the engine is getting weights, by its report or by an order."""
        return self.staging is not None or self.state.busy

    @property
    def group_order_pending(self) -> bool:
        """Tell whether an order that changes its group is under way."""
        return self.pending_order is not None and not isinstance(self.pending_order, Stage)

    def belongs_to(self, group: GroupId, epoch: Epoch) -> bool:
        """Tell whether the engine was last seen in this group at this epoch."""
        member_of = self.membership
        return member_of is not None and member_of.group == group and member_of.epoch == epoch

    def holds_rank(self, group: GroupId, epoch: Epoch, rank: int) -> bool:
        """Tell whether the engine was last seen at its own place in a group.

        Reports do not name who gives them: one of another place in the group comes from another
        member, which has started at this one's address.
        """
        member_of = self.membership
        return member_of is not None and self.belongs_to(group, epoch) and member_of.rank == rank

    def begin_staging(self, model: ModelName, until_s: float) -> None:
        """Note that the engine is getting a model's weights, until a time at the latest."""
        self.staging = model
        self.staging_until_s = until_s

    def assume_left(self, group: GroupId, epoch: Epoch, until_s: float) -> None:
        """Take it that the engine has left a group; its reports may name it for a while."""
        self.departure = Departure(group, epoch, until_s)
        if self.belongs_to(group, epoch):
            self.state = replace(self.state, membership=None)

    def assume_joined(self, model: ModelName, until_s: float) -> None:
        """Take it that the engine joins a model; its reports may show the one before for a while.

        It cannot go back to that one at once any more.
        """
        self.last_model = model
        self.last_model_until_s = until_s

    def update_listing(self, listed: ListedTarget, now_s: float) -> None:
        """Take the engine's row; one that says anew for how long it is cold is so from now on."""
        if listed.cold_s > 0.0 and listed.cold_s != self.listed.cold_s:
            self.cold_until_s = now_s + listed.cold_s
        self.displaced = self.displaced and listed.address == self.listed.address
        self.listed = listed
        self.unlisted_since_s = None

    def mark_displaced(self) -> None:
        """Take it that another instance answers at the engine's address, as itself has ended."""
        self.displaced = self.dead = True

    def has_unreported_change(self, now_s: float) -> bool:
        """Tell whether the list showed a change that no report has shown yet."""
        return self.observed_s < self.listed_change_due_s <= now_s

    def changed_by(self, state: EngineState) -> bool:
        """Tell whether a report differs in what groups are formed by, not only in load."""
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
        """Take the engine's own report, but for a group that it has left since."""
        self.state = state
        self.observed_s = asked_s
        reported_model = state.model if state.membership is not None else None
        if reported_model is not None and asked_s >= self.last_model_until_s:
            self.last_model = reported_model
        if self.departure is not None and asked_s < self.departure.until_s:
            self.assume_left(self.departure.group, self.departure.epoch, self.departure.until_s)

    def can_join(self, model: ModelName) -> bool:
        """Tell whether the engine can join a group of a model without loading weights.

        One that is loading other weights has to finish that first, unless its last group was
        one of this model.
        """
        return self.last_model == model or (model in self.state.staged and not self.loading)


__all__ = ["NEVER_S", "EngineRecord"]
