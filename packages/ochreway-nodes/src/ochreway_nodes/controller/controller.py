# SPDX-License-Identifier: Apache-2.0
"""The controller of one fabric domain: lease, planning, commits and orders to agents."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from ochreway_core.backoff import Backoff
from ochreway_core.bundle import Bundle
from ochreway_core.effects import TableCommit, TableRead, TableUse
from ochreway_core.ids import ChangeId, DomainId, Epoch, GroupId, HallId, NodeId, Term, Version
from ochreway_core.listing import ListedInstance
from ochreway_core.messages import Dismiss, LeaveNotice, Order, Probe, Report, Warm
from ochreway_core.peer import Peer
from ochreway_core.rows import GroupRow, LeaseRow, group_key, instance_key, lease_key
from ochreway_core.table import CommitReply, CommitStatus, ReadReply
from ochreway_core.timing import Timing
from ochreway_nodes.controller.domainrows import DomainRows
from ochreway_nodes.controller.groupchange import GroupChange
from ochreway_nodes.controller.halldrainplan import replacements_to_warm
from ochreway_nodes.controller.health import Health
from ochreway_nodes.controller.planner import MAX_CONCURRENT_LOADS, next_change
from ochreway_nodes.controller.repair import RepairPolicy
from ochreway_nodes.controller.rowwrites import RowWrites, SpecSource, writes_for
from ochreway_nodes.controller.situation import Situation
from ochreway_nodes.controller.tally import Tally
from ochreway_nodes.outbox import Outbox

LEASE_CANDIDATES = 3
"""Number of entries that watch a domain's lease, chosen by rendezvous hashing."""
TAKEOVER_STAGGER_FRACTION = 0.5
"""Extra wait per candidate rank before taking over a lease, as a fraction of its renewal."""
BACKOFF_BASE_S = 0.5
WARM_INTERVAL_S = 1.0
"""Interval between rounds of warm-up orders."""
MAX_SPARE_LOADS = 1
"""Bound on warm-up orders to spares in one round."""


class Phase(Enum):
    """What the controller is waiting for."""

    IDLE = "idle"
    READING = "reading"
    COMMITTING = "committing"


@dataclass(slots=True)
class _ObservedLease:
    """The newest known lease row and the time since which it has not changed."""

    lease: LeaseRow | None
    unchanged_since_s: float


@dataclass(slots=True)
class _PendingCall:
    """A call to the table that has not been answered yet."""

    call: int
    sent_s: float
    writes: RowWrites | None = None


class Controller:
    """Watch or hold one domain's lease, and change the domain's groups while holding it.

    Every transaction requires the lease row to be unchanged since this holder last wrote it. A
    holder that was suspended until its lease was taken over therefore cannot write.
    """

    def __init__(
        self,
        domain: DomainId,
        me: NodeId,
        timing: Timing,
        policy: RepairPolicy,
        outbox: Outbox,
        rng: random.Random,
        next_call: Callable[[], int],
        now_s: float,
    ) -> None:
        self.domain = domain
        self.rank = 0
        self.holding = False
        self.rows: DomainRows | None = None
        self.health: dict[NodeId, Health] = {}
        self.tally = Tally()
        self._me = me
        self._timing = timing
        self._policy = policy
        self._outbox = outbox
        self._random = rng
        self._next_call = next_call
        self._backoff = Backoff(BACKOFF_BASE_S, timing.backoff_max_s, rng)
        self._phase = Phase.IDLE
        self._pending: _PendingCall | None = None
        self._not_before_s = now_s
        self._lease_renewed_s = -1.0e9
        self._last_probe_s = -1.0e9
        self._last_warm_s = -1.0e9
        self._rows_fresh = False
        self._observed = _ObservedLease(None, now_s)
        self._draining_since_s: dict[GroupId, float] = {}
        self._drained_halls: frozenset[HallId] = frozenset()
        self._closed_halls: frozenset[HallId] = frozenset()
        self._bundle: Bundle | None = None
        self._version = Version(0)

    # Inputs

    def configure(self, bundle: Bundle, version: Version) -> None:
        """Set the bundle in force, and probe the domain's agents at the next tick."""
        self._last_probe_s = -1.0e9
        self._bundle = bundle
        self._version = version

    def on_listing(self, instances: Mapping[NodeId, ListedInstance]) -> None:
        """Update the health records from the platform's list of instances."""
        for node in sorted(self._section_nodes() | self.health.keys()):
            health = self.health.setdefault(node, Health())
            listed = instances.get(node)
            health.listed = listed is not None
            health.leaving = listed is not None and listed.leaving
            if listed is not None:
                health.peer = Peer(node, listed.address)
                health.hall = listed.hall

    def set_drained_halls(self, drained: frozenset[HallId], closed: frozenset[HallId]) -> None:
        """Set the halls whose instances join no group, and those where no group keeps serving."""
        self._drained_halls = drained
        self._closed_halls = closed

    def _section_nodes(self) -> set[NodeId]:
        if self._bundle is None:
            return set()
        groups = [group for group in self._bundle.group if group.domain == self.domain]
        return {NodeId(name) for group in groups for name in group.instances}

    def on_report(self, report: Report, now_s: float) -> None:
        """Record an agent's report, and answer with the group row if the agent's is out of date."""
        health = self.health.get(report.node)
        if health is None:
            return
        health.last_seen_s = now_s
        health.report = report
        if self.rows is not None and self.rows.lease is not None:
            self._reconcile_agent(health, report, self.rows)
            self._mark_members_seen(report, self.rows, now_s)

    def _mark_members_seen(self, report: Report, rows: DomainRows, now_s: float) -> None:
        """Count members as alive when their leader reports to hold their grants."""
        row = rows.groups.get(report.group)
        if row is None or row.leader.node != report.node or row.epoch != report.epoch:
            return
        for peer in row.members:
            health = self.health.get(peer.node)
            if health is not None and peer.node not in report.missing:
                health.last_seen_s = now_s

    def _reconcile_agent(self, health: Health, report: Report, rows: DomainRows) -> None:
        group = rows.group_of(report.node)
        if health.peer is None or rows.lease is None:
            return
        row = rows.groups.get(group) if group else None
        if row is not None:
            if _is_behind(report, row):
                self._outbox.send(health.peer, Order(self.domain, rows.lease.term, row))
        elif report.group:
            self._outbox.send(health.peer, Dismiss(self.domain, rows.lease.counter))

    def observe_lease(self, lease: LeaseRow | None, now_s: float) -> None:
        """Record a lease row that was read, unless a newer one is known already."""
        known = self._observed.lease
        if lease is None or _lease_order(lease) <= _lease_order(known):
            return
        self._observed = _ObservedLease(lease, now_s)
        if not self.holding and lease.holder != self._me:
            # Another entry holds the lease, so orders must not be based on rows read earlier.
            self.rows = None

    # Periodic work

    def tick(self, now_s: float) -> None:
        """Send probes, time out the pending call, and start the next table call if one is due."""
        pending = self._pending
        if pending is not None and now_s - pending.sent_s > self._timing.table_timeout_s:
            self._call_failed(now_s)
        if self.rows is not None:
            self._probe(now_s)
        if self._phase is not Phase.IDLE or now_s < self._not_before_s:
            return
        if not self.holding:
            if self.rank < LEASE_CANDIDATES:
                self._consider_acquiring(now_s)
        elif not self._rows_fresh:
            self._read(now_s)
        else:
            self._act_as_holder(now_s)

    def _call_failed(self, now_s: float) -> None:
        self._outbox.count("controller.table_failed")
        # The commit may have been applied or may still be; only a new read can tell.
        self._rows_fresh = False
        self._phase = Phase.IDLE
        self._pending = None
        self._not_before_s = now_s + self._backoff.next_delay_s()

    def _consider_acquiring(self, now_s: float) -> None:
        if self._may_acquire_lease(now_s):
            self._read(now_s)

    def _may_acquire_lease(self, now_s: float) -> bool:
        observed = self._observed
        unheld = observed.lease is None or not observed.lease.holder
        wait_s = 0.0 if unheld else self._timing.lease_s
        wait_s += self.rank * TAKEOVER_STAGGER_FRACTION * self._timing.lease_renew_s
        return now_s - observed.unchanged_since_s >= wait_s

    def _read(self, now_s: float) -> None:
        call = self._next_call()
        prefixes = (
            lease_key(self.domain),
            group_key(self.domain, ""),
            instance_key(self.domain, ""),
        )
        self._phase = Phase.READING
        self._pending = _PendingCall(call, now_s)
        self._outbox.add(TableRead(TableUse.CONTROLLER, call, prefixes))

    # Replies of the table

    def on_read(self, call: int, reply: ReadReply, now_s: float) -> None:
        """Handle the reply to a read of the domain's rows."""
        if self._pending is None or call != self._pending.call:
            return
        if reply.rows is None:
            self._call_failed(now_s)
            return
        self._pending = None
        self._phase = Phase.IDLE
        self._backoff.reset()
        rows = DomainRows.from_rows(self.domain, reply.rows)
        self.observe_lease(rows.lease, now_s)
        if rows.lease is not None and rows.lease.holder == self._me:
            self._apply_rows(rows)
            self._rows_fresh = True
            self._on_lease_held(now_s)
            return
        self._on_lease_lost()
        if self._may_acquire_lease(now_s):
            self._acquire_lease(rows, now_s)

    def _apply_rows(self, rows: DomainRows) -> None:
        self.rows = rows
        draining = {group for group, row in rows.groups.items() if row.draining}
        for group in self._draining_since_s.keys() - draining:
            del self._draining_since_s[group]

    def _acquire_lease(self, rows: DomainRows, now_s: float) -> None:
        former = rows.lease
        term = Term(former.term + 1 if former else 1)
        counter = former.counter if former else Epoch(0)
        self._commit(RowWrites(rows, LeaseRow(self._me, term, 0, counter)), now_s)

    def _commit(self, writes: RowWrites, now_s: float) -> None:
        call = self._next_call()
        change = ChangeId(f"{self._me}.{self._random.getrandbits(64):016x}")
        self._phase = Phase.COMMITTING
        self._pending = _PendingCall(call, now_s, writes)
        self._outbox.add(TableCommit(TableUse.CONTROLLER, call, writes.transaction(change)))

    def on_commit(self, call: int, reply: CommitReply, now_s: float) -> None:
        """Handle the outcome of a transaction."""
        pending = self._pending
        if pending is None or call != pending.call or pending.writes is None:
            return
        if reply.status is CommitStatus.LOST:
            self._call_failed(now_s)
            return
        self._pending = None
        self._phase = Phase.IDLE
        self._backoff.reset()
        if reply.status is CommitStatus.CONFLICT:
            self._outbox.count("controller.conflict")
            self._rows_fresh = False
            return
        self._apply_rows(pending.writes.committed(reply.revision))
        self._rows_fresh = True
        self._on_lease_held(now_s)
        for group in pending.writes.changed_groups:
            self._send_orders(group)

    def _on_lease_held(self, now_s: float) -> None:
        self._lease_renewed_s = now_s
        if self.holding:
            return
        self.holding = True
        assert self.rows is not None
        assert self.rows.lease is not None
        self._outbox.count("controller.lease_taken")
        self._outbox.log("lease_taken", domain=self.domain, term=self.rows.lease.term)
        for health in self.health.values():
            health.last_seen_s = max(health.last_seen_s, now_s)

    def _on_lease_lost(self) -> None:
        if self.holding:
            self._outbox.count("controller.lease_lost")
            self._outbox.log("lease_lost", domain=self.domain)
        self.holding = False
        self._rows_fresh = False
        self.rows = None

    def _send_orders(self, group: GroupId) -> None:
        assert self.rows is not None
        assert self.rows.lease is not None
        row = self.rows.groups.get(group)
        if row is None:
            return
        for peer in row.members:
            self._outbox.send(peer, Order(self.domain, self.rows.lease.term, row))

    @property
    def can_commit(self) -> bool:
        """Whether this controller holds the lease, has current rows and no call pending."""
        return self.holding and self._rows_fresh and self._phase is Phase.IDLE

    def commit_change(self, change: GroupChange, now_s: float) -> None:
        """Commit a change to the domain's groups."""
        assert self.rows is not None
        self._outbox.count("controller.change")
        self._log_change(change)
        self._commit(writes_for(change, self.rows, self._spec_source()), now_s)

    # Work of the lease holder

    def _act_as_holder(self, now_s: float) -> None:
        rows = self.rows
        assert rows is not None
        assert rows.lease is not None
        change = self._plan_change(rows, now_s)
        if change is not None:
            self.commit_change(change, now_s)
            return
        self._warm_spares(rows, now_s)
        if now_s - self._lease_renewed_s >= self._timing.lease_renew_s:
            lease = replace(rows.lease, beat=rows.lease.beat + 1)
            self._commit(RowWrites(rows, lease), now_s)

    def _warm_spares(self, rows: DomainRows, now_s: float) -> None:
        """Order replacements, or else one spare, to load weights.

        Replacements load within the bound on concurrent loads. A spare loads only while no group
        loads and no replacement is cold. The order to a replacement is repeated until it is warm,
        and counts against the bound until then.
        """
        if (
            self._bundle is None
            or rows.lease is None
            or now_s - self._last_warm_s < WARM_INTERVAL_S
        ):
            return
        self._last_warm_s = now_s
        situation = self._situation(self._bundle, rows, now_s)
        free_loads = max(0, MAX_CONCURRENT_LOADS - situation.loading_count())
        replacements = replacements_to_warm(situation)
        for peer, artifact in replacements[:free_loads]:
            self._outbox.send(peer, Warm(self.domain, rows.lease.counter, artifact))
        if situation.loading_count() or replacements:
            return
        for peer, artifact in situation.spares_to_warm()[:MAX_SPARE_LOADS]:
            self._outbox.send(peer, Warm(self.domain, rows.lease.counter, artifact))

    def _spec_source(self) -> SpecSource:
        assert self._bundle is not None
        return SpecSource(self._bundle, self._version)

    def _plan_change(self, rows: DomainRows, now_s: float) -> GroupChange | None:
        if self._bundle is None:
            return None
        for group, row in rows.groups.items():
            if row.draining:
                self._draining_since_s.setdefault(group, now_s)
        situation = self._situation(self._bundle, rows, now_s)
        self.tally.accumulate(situation)
        return next_change(situation, self._policy)

    def _situation(self, bundle: Bundle, rows: DomainRows, now_s: float) -> Situation:
        return Situation(
            bundle=bundle,
            rows=rows,
            health=self.health,
            lost_after_s=self._timing.member_lost_s,
            draining_since_s=self._draining_since_s,
            now_s=now_s,
            drained_halls=self._drained_halls,
            closed_halls=self._closed_halls,
        )

    def _log_change(self, change: GroupChange) -> None:
        self._outbox.log(
            "group_change", kind=type(change).__name__, group=change.group, why=change.why
        )

    def _probe(self, now_s: float) -> None:
        rows = self.rows
        if rows is None or rows.lease is None or now_s - self._last_probe_s < self._timing.probe_s:
            return
        self._last_probe_s = now_s
        for node, health in self.health.items():
            if health.peer is None:
                continue
            if self._needs_probe(node, health, rows, now_s):
                self._outbox.send(health.peer, Probe(self.domain, rows.lease.term))
            if health.leaving:
                self._outbox.send(health.peer, LeaveNotice(node))

    def _needs_probe(self, node: NodeId, health: Health, rows: DomainRows, now_s: float) -> bool:
        """Return False for ready members whose leader has reported their grants recently."""
        group = rows.group_of(node)
        row = rows.groups.get(group) if group else None
        report = health.report
        if row is None or report is None or row.leader.node == node or health.leaving:
            return True
        behind = _is_behind(report, row)
        silent = health.silent_for_s(now_s) > 2 * self._timing.probe_s
        return behind or silent or report.leaving or not report.ready

    def release_lease(self, now_s: float) -> None:
        """Release the lease for a planned stop, and make no further table calls."""
        if (
            self.holding
            and self._rows_fresh
            and self.rows is not None
            and self.rows.lease is not None
        ):
            self._commit(RowWrites(self.rows, replace(self.rows.lease, holder=NodeId(""))), now_s)
        self.holding = False
        self._not_before_s = float("inf")


def _is_behind(report: Report, row: GroupRow) -> bool:
    formation = report.reformed.formation if report.reformed else 0
    if report.node != row.leader.node:
        # Only leaders make formations; other members receive them from their leader.
        formation = row.formation
    return (report.epoch, formation, report.step) < row.order_key


def _lease_order(lease: LeaseRow | None) -> tuple[int, int]:
    return (lease.term, lease.beat) if lease else (0, -1)


__all__ = ["Controller", "Phase"]
