# SPDX-License-Identifier: Apache-2.0
"""A fabric domain's controller: lease, plan, commit, push."""

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
from ochreway_nodes.controller.planner import LOADS_AT_ONCE, plan
from ochreway_nodes.controller.repair import RepairPolicy
from ochreway_nodes.controller.rowwrites import RowWrites, SpecSource, writes_for
from ochreway_nodes.controller.situation import Situation
from ochreway_nodes.controller.tally import Tally
from ochreway_nodes.outbox import Outbox

CANDIDATES = 3
"""How many entries watch a domain's lease, by rendezvous."""
TAKE_OVER_STAGGER = 0.5
BACKOFF_BASE_S = 0.5
WARM_EVERY_S = 1.0
WARM_AT_ONCE = 1


class Phase(Enum):
    """Say what the controller waits for."""

    IDLE = "idle"
    READING = "reading"
    COMMITTING = "committing"


@dataclass(slots=True)
class _Observed:
    """Hold another holder's lease and since when it has not moved."""

    lease: LeaseRow | None
    since_s: float


@dataclass(slots=True)
class _Pending:
    call: int
    sent_s: float
    writes: RowWrites | None = None


class Controller:
    """Hold or watch one domain's lease, and change its groups while holding it.

    Every transaction requires the lease row to stand as this holder last wrote it, so a
    holder that slept through its lease cannot write.
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
        self._pending: _Pending | None = None
        self._not_before_s = now_s
        self._renewed_s = -1.0e9
        self._probed_s = -1.0e9
        self._warmed_s = -1.0e9
        self._fresh = False
        self._observed = _Observed(None, now_s)
        self._draining_since_s: dict[GroupId, float] = {}
        self._drained_halls: frozenset[HallId] = frozenset()
        self._closed_halls: frozenset[HallId] = frozenset()
        self._bundle: Bundle | None = None
        self._version = Version(0)

    # What others say

    def configure(self, bundle: Bundle, version: Version) -> None:
        """Take the bundle in force, and let the domain's agents hear of it at once."""
        self._probed_s = -1.0e9
        self._bundle = bundle
        self._version = version

    def on_listing(self, instances: Mapping[NodeId, ListedInstance]) -> None:
        """Take in the platform's list."""
        for node in sorted(self._named() | self.health.keys()):
            health = self.health.setdefault(node, Health())
            listed = instances.get(node)
            health.listed = listed is not None
            health.leaving = listed is not None and listed.leaving
            if listed is not None:
                health.peer = Peer(node, listed.address)
                health.hall = listed.hall

    def drain_halls(self, drained: frozenset[HallId], closed: frozenset[HallId]) -> None:
        """Use no instance in drained halls any more; in closed ones no group serves on."""
        self._drained_halls = drained
        self._closed_halls = closed

    def _named(self) -> set[NodeId]:
        if self._bundle is None:
            return set()
        groups = [group for group in self._bundle.group if group.domain == self.domain]
        return {NodeId(name) for group in groups for name in group.instances}

    def on_report(self, report: Report, now_s: float) -> None:
        """Take in an agent's report, and answer it with the rows that it lacks."""
        health = self.health.get(report.node)
        if health is None:
            return
        health.heard_s = now_s
        health.report = report
        if self.rows is not None and self.rows.lease is not None:
            self._bring_up_to_date(health, report, self.rows)
            self._hear_members(report, self.rows, now_s)

    def _hear_members(self, report: Report, rows: DomainRows, now_s: float) -> None:
        """Take a leader's word for the members whose grants it has."""
        row = rows.groups.get(report.group)
        if row is None or row.leader.node != report.node or row.epoch != report.epoch:
            return
        for peer in row.members:
            health = self.health.get(peer.node)
            if health is not None and peer.node not in report.missing:
                health.heard_s = now_s

    def _bring_up_to_date(self, health: Health, report: Report, rows: DomainRows) -> None:
        group = rows.group_of(report.node)
        if health.peer is None or rows.lease is None:
            return
        row = rows.groups.get(group) if group else None
        if row is not None:
            if _is_behind(report, row):
                self._outbox.send(health.peer, Order(self.domain, rows.lease.term, row))
        elif report.group:
            self._outbox.send(health.peer, Dismiss(self.domain, rows.lease.counter))

    def observe(self, lease: LeaseRow | None, now_s: float) -> None:
        """Take in the lease row as a read showed it; an older one came late."""
        known = self._observed.lease
        if lease is None or _age(lease) <= _age(known):
            return
        self._observed = _Observed(lease, now_s)
        if not self.holding and lease.holder != self._me:
            # Another holds the lease: what was read before is no basis for orders any more.
            self.rows = None

    # Time

    def tick(self, now_s: float) -> None:
        """Do what is due."""
        pending = self._pending
        if pending is not None and now_s - pending.sent_s > self._timing.table_timeout_s:
            self._call_failed(now_s)
        if self.rows is not None:
            self._probe(now_s)
        if self._phase is not Phase.IDLE or now_s < self._not_before_s:
            return
        if not self.holding:
            if self.rank < CANDIDATES:
                self._consider_taking(now_s)
        elif not self._fresh:
            self._read(now_s)
        else:
            self._act(now_s)

    def _call_failed(self, now_s: float) -> None:
        self._outbox.count("controller.table_failed")
        # A commit may have landed or may land yet; only a fresh read can tell.
        self._fresh = False
        self._phase = Phase.IDLE
        self._pending = None
        self._not_before_s = now_s + self._backoff.next_delay_s()

    def _consider_taking(self, now_s: float) -> None:
        if self._may_take(now_s):
            self._read(now_s)

    def _may_take(self, now_s: float) -> bool:
        observed = self._observed
        unheld = observed.lease is None or not observed.lease.holder
        patience_s = 0.0 if unheld else self._timing.lease_s
        patience_s += self.rank * TAKE_OVER_STAGGER * self._timing.lease_renew_s
        return now_s - observed.since_s >= patience_s

    def _read(self, now_s: float) -> None:
        call = self._next_call()
        prefixes = (
            lease_key(self.domain),
            group_key(self.domain, ""),
            instance_key(self.domain, ""),
        )
        self._phase = Phase.READING
        self._pending = _Pending(call, now_s)
        self._outbox.add(TableRead(TableUse.CONTROLLER, call, prefixes))

    # Answers of the table

    def on_read(self, call: int, reply: ReadReply, now_s: float) -> None:
        """Take in the domain's rows."""
        if self._pending is None or call != self._pending.call:
            return
        if reply.rows is None:
            self._call_failed(now_s)
            return
        self._pending = None
        self._phase = Phase.IDLE
        self._backoff.reset()
        rows = DomainRows.read(self.domain, reply.rows)
        self.observe(rows.lease, now_s)
        if rows.lease is not None and rows.lease.holder == self._me:
            self._take_rows(rows)
            self._fresh = True
            self._now_holding(now_s)
            return
        self._lost_lease()
        if self._may_take(now_s):
            self._take_lease(rows, now_s)

    def _take_rows(self, rows: DomainRows) -> None:
        self.rows = rows
        draining = {group for group, row in rows.groups.items() if row.draining}
        for group in self._draining_since_s.keys() - draining:
            del self._draining_since_s[group]

    def _take_lease(self, rows: DomainRows, now_s: float) -> None:
        former = rows.lease
        term = Term(former.term + 1 if former else 1)
        counter = former.counter if former else Epoch(0)
        self._commit(RowWrites(rows, LeaseRow(self._me, term, 0, counter)), now_s)

    def _commit(self, writes: RowWrites, now_s: float) -> None:
        call = self._next_call()
        change = ChangeId(f"{self._me}.{self._random.getrandbits(64):016x}")
        self._phase = Phase.COMMITTING
        self._pending = _Pending(call, now_s, writes)
        self._outbox.add(TableCommit(TableUse.CONTROLLER, call, writes.transaction(change)))

    def on_commit(self, call: int, reply: CommitReply, now_s: float) -> None:
        """Take in what became of a transaction."""
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
            self._fresh = False
            return
        self._take_rows(pending.writes.committed(reply.revision))
        self._fresh = True
        self._now_holding(now_s)
        for group in pending.writes.changed:
            self._push(group)

    def _now_holding(self, now_s: float) -> None:
        self._renewed_s = now_s
        if self.holding:
            return
        self.holding = True
        assert self.rows is not None
        assert self.rows.lease is not None
        self._outbox.count("controller.lease_taken")
        self._outbox.log("lease_taken", domain=self.domain, term=self.rows.lease.term)
        for health in self.health.values():
            health.heard_s = max(health.heard_s, now_s)

    def _lost_lease(self) -> None:
        if self.holding:
            self._outbox.count("controller.lease_lost")
            self._outbox.log("lease_lost", domain=self.domain)
        self.holding = False
        self._fresh = False
        self.rows = None

    def _push(self, group: GroupId) -> None:
        assert self.rows is not None
        assert self.rows.lease is not None
        row = self.rows.groups.get(group)
        if row is None:
            return
        for peer in row.members:
            self._outbox.send(peer, Order(self.domain, self.rows.lease.term, row))

    @property
    def at_rest(self) -> bool:
        """Tell whether the holder may commit now."""
        return self.holding and self._fresh and self._phase is Phase.IDLE

    def change(self, change: GroupChange, now_s: float) -> None:
        """Commit a change to the groups."""
        assert self.rows is not None
        self._outbox.count("controller.change")
        self._log_change(change)
        self._commit(writes_for(change, self.rows, self._spec_source()), now_s)

    # The holder's work

    def _act(self, now_s: float) -> None:
        rows = self.rows
        assert rows is not None
        assert rows.lease is not None
        change = self._plan(rows, now_s)
        if change is not None:
            self.change(change, now_s)
            return
        self._warm_spares(rows, now_s)
        if now_s - self._renewed_s >= self._timing.lease_renew_s:
            lease = replace(rows.lease, beat=rows.lease.beat + 1)
            self._commit(RowWrites(rows, lease), now_s)

    def _warm_spares(self, rows: DomainRows, now_s: float) -> None:
        """Have replacements load, within the bound on loads, and one spare while all is calm.

        A replacement that is still cold is told again; it keeps its place until it is warm.
        """
        if self._bundle is None or rows.lease is None or now_s - self._warmed_s < WARM_EVERY_S:
            return
        self._warmed_s = now_s
        situation = self._situation(self._bundle, rows, now_s)
        room = max(0, LOADS_AT_ONCE - situation.loading())
        replacements = replacements_to_warm(situation)
        for peer, artifact in replacements[:room]:
            self._outbox.send(peer, Warm(self.domain, rows.lease.counter, artifact))
        if situation.loading() or replacements:
            return
        for peer, artifact in situation.to_warm()[:WARM_AT_ONCE]:
            self._outbox.send(peer, Warm(self.domain, rows.lease.counter, artifact))

    def _spec_source(self) -> SpecSource:
        assert self._bundle is not None
        return SpecSource(self._bundle, self._version)

    def _plan(self, rows: DomainRows, now_s: float) -> GroupChange | None:
        if self._bundle is None:
            return None
        for group, row in rows.groups.items():
            if row.draining:
                self._draining_since_s.setdefault(group, now_s)
        situation = self._situation(self._bundle, rows, now_s)
        self.tally.count(situation)
        return plan(situation, self._policy)

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
        if rows is None or rows.lease is None or now_s - self._probed_s < self._timing.probe_s:
            return
        self._probed_s = now_s
        for node, health in self.health.items():
            if health.peer is None:
                continue
            if self._needs_probe(node, health, rows, now_s):
                self._outbox.send(health.peer, Probe(self.domain, rows.lease.term))
            if health.leaving:
                self._outbox.send(health.peer, LeaveNotice(node))

    def _needs_probe(self, node: NodeId, health: Health, rows: DomainRows, now_s: float) -> bool:
        """Leave out members whose leader has just vouched for them."""
        group = rows.group_of(node)
        row = rows.groups.get(group) if group else None
        report = health.report
        if row is None or report is None or row.leader.node == node or health.leaving:
            return True
        behind = _is_behind(report, row)
        unheard = health.lost_for_s(now_s) > 2 * self._timing.probe_s
        return behind or unheard or report.leaving or not report.ready

    def release(self, now_s: float) -> None:
        """Give the lease up, as at a planned stop."""
        if self.holding and self._fresh and self.rows is not None and self.rows.lease is not None:
            self._commit(RowWrites(self.rows, replace(self.rows.lease, holder=NodeId(""))), now_s)
        self.holding = False
        self._not_before_s = float("inf")


def _is_behind(report: Report, row: GroupRow) -> bool:
    formation = report.reformed.formation if report.reformed else 0
    if report.node != row.leader.node:
        # Only leaders make formations; the others hear of them from their leader.
        formation = row.formation
    return (report.epoch, formation, report.step) < row.order_key


def _age(lease: LeaseRow | None) -> tuple[int, int]:
    return (lease.term, lease.beat) if lease else (0, -1)


__all__ = ["Controller", "Phase"]
