# SPDX-License-Identifier: Apache-2.0
"""Entries that send to targets through the real limit, over links and a store that fail."""

import random
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from ochreway_core.backoff import Backoff
from ochreway_core.ids import HallId, InstanceId, NodeId
from ochreway_core.table import CommitReply, CommitStatus, Row, Transaction
from ochreway_direct.configuration import ColdStart, Service
from ochreway_direct.ids import ServiceName
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.lender import Lender
from ochreway_direct.sendlimits.loan import Loan
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.standingshare import StandingShare
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

SERVICE = ServiceName("s")
COLD = Service(SERVICE, 100, cold_start=ColdStart(4.0, 3.0))
EXCESS = 1.5
SLACK = 4.0
ALLOWANCE = 10
"""Little, so that hardly anything is left over: seven stand for all entries, three are lent."""
LENDABLE = 3
BEAT_S = 0.3
RENEW_S = 2.0
STEP_S = 0.1
ALIVE_S = 1.0
T = TypeVar("T")


def finished(work: Coroutine[Any, Any, T]) -> T:
    """Run what waits for nothing."""
    try:
        work.send(None)
    except StopIteration as end:
        return end.value  # type: ignore[no-any-return]
    raise AssertionError("it waits")


class CutTable(MemoryTable):
    """Reach a table that all share, unless it is cut off or its answers are lost."""

    def __init__(self, shared: MemoryTable) -> None:
        super().__init__()
        self.shared = shared
        self.cut = False
        self.answers_lost = False

    async def read(self, prefixes: tuple[str, ...]) -> dict[str, Row]:
        if self.cut or self.answers_lost:
            raise TableUnavailable("cut")
        return dict(self.shared.read_now(prefixes))

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.cut:
            return CommitReply(CommitStatus.LOST)
        reply = self.shared.commit_now(transaction)
        return CommitReply(CommitStatus.LOST) if self.answers_lost else reply


@dataclass(frozen=True, slots=True)
class Beat:
    """Say what a heartbeat says of these matters."""

    sender: NodeId
    sent_s: float
    echo_s: float | None
    names: tuple[NodeId, ...]
    loan: Loan | None


@dataclass(frozen=True, slots=True)
class Guards:
    """Say which guards are in force, to show that each is needed."""

    limited: bool = True
    quiet: bool = True
    counted: bool = True
    echoed: bool = True
    held: bool = True
    opened_late: bool = True


class SendEntry:
    """Own an entry's limit, its loans and its clock."""

    def __init__(self, world: "SendWorld", name: NodeId, life: int, clock_s: float) -> None:
        self._world = world
        self.name = name
        self.clock_s = clock_s
        self.began_s = world.now_s + clock_s
        self.log = RecordedLog()
        self.metrics = Metrics(None, "entry")
        self.standing = StandingShare(name, world.seeds, self.began_s)
        self.limit = FleetLimit(
            *(lambda: (COLD,), EXCESS, SLACK, self.standing, ColdTargets(self.log)),
            *(self.began_s, self.log, self.metrics),
        )
        self.table = CutTable(world.table)
        backoff = Backoff(0.1, 1.0, random.Random(1))
        self.lease = Lease(self.table, Holder(name, str(life)), RENEW_S, backoff)
        lender = Lender(
            **({} if world.guards.quiet else {"quiet_s": 0.0}),
            **({} if world.guards.counted else {"lapsed_s": 0.0}),
        )
        self.loans = Loans(name, self.limit, self.lease, self._weights, lender)
        self.heard: dict[NodeId, tuple[float, float]] = {}
        self.names: set[NodeId] = set()
        self.weight = 1.0
        self.frozen = False
        self.kept: list[Beat] = []

    def _weights(self, now_s: float) -> dict[NodeId, float]:
        entries = self._world.entries
        known = [name for name in self._alive(now_s) if name in entries]
        return {name: entries[name].weight for name in (self.name, *known)}

    def _alive(self, now_s: float) -> list[NodeId]:
        return [n for n, (_, at_s) in self.heard.items() if now_s - at_s < ALIVE_S]

    def beat(self, now_s: float) -> None:
        self.loans.beat(self.names, bool(self._alive(now_s)), now_s)
        if self.lease.due(now_s):
            finished(self.lease.renew(now_s))

    def to(self, node: NodeId, now_s: float) -> Beat:
        echo_s = self.heard[node][0] if node in self.heard else None
        names = (self.name, *self.names)
        return Beat(self.name, now_s, echo_s, names, self.loans.lend(node, now_s))

    def hear(self, beat: Beat, now_s: float, echoed: bool) -> None:
        self.heard[beat.sender] = (beat.sent_s, now_s)
        self.names |= set(beat.names) - {self.name}
        if not echoed:
            self.loans.borrow(beat.loan, now_s, now_s)
        elif beat.echo_s is not None and self.began_s <= beat.echo_s <= now_s:
            self.loans.borrow(beat.loan, beat.echo_s, now_s)

    def take(self, now_s: float) -> bool:
        finished(self.lease.observe(now_s))
        return finished(self.lease.take(now_s))


@dataclass(slots=True)
class SendWorld:
    """Move time on, carry messages, and note when requests are written to targets."""

    seeds: int
    guards: Guards = Guards()
    now_s: float = 100.0
    table: MemoryTable = field(default_factory=MemoryTable)
    entries: dict[NodeId, SendEntry] = field(default_factory=dict)
    cuts: set[frozenset[NodeId]] = field(default_factory=set)
    delays_s: dict[NodeId, float] = field(default_factory=dict)
    written: dict[InstanceId, list[float]] = field(default_factory=lambda: defaultdict(list))
    most_lent: int = 0
    _mail: list[tuple[float, NodeId, Beat]] = field(default_factory=list)
    _writes: list[tuple[float, SendEntry, Attempt]] = field(default_factory=list)
    _clocks_s: dict[NodeId, float] = field(default_factory=dict)
    _lives: int = 0
    _steps: int = 0

    def __post_init__(self) -> None:
        for number in range(self.seeds):
            self.join(NodeId(f"e{number}"))

    def join(self, name: NodeId) -> SendEntry:
        """Start an entry, or another life of one; each instance has a clock of its own."""
        self._lives += 1
        clock_s = self._clocks_s.setdefault(name, 1000.0 * len(self._clocks_s))
        entry = SendEntry(self, name, self._lives, clock_s)
        if not self.guards.opened_late:
            entry.limit._open_s = entry.began_s
        self.entries[name] = entry
        return entry

    def run(self, for_s: float) -> None:
        for _ in range(round(for_s / STEP_S)):
            self._steps += 1
            self.now_s += STEP_S
            self._write()
            self._deliver()
            if self._steps % round(BEAT_S / STEP_S) == 0:
                self._beat()
            self.most_lent = max(self.most_lent, self._lent())

    def _lent(self) -> int:
        """Return what all entries have on loan now."""
        loans = (e.limit.loan_of(SERVICE, self.now_s + e.clock_s) for e in self.entries.values())
        return sum(loans)

    def _beat(self) -> None:
        for entry in list(self.entries.values()):
            if entry.frozen:
                continue
            now_s = self.now_s + entry.clock_s
            entry.beat(now_s)
            for other in self.entries:
                if other != entry.name and frozenset((other, entry.name)) not in self.cuts:
                    due_s = self.now_s + self.delays_s.get(entry.name, 0.0)
                    self._mail.append((due_s, other, entry.to(other, now_s)))

    def _deliver(self) -> None:
        due = [each for each in self._mail if each[0] <= self.now_s]
        self._mail = [each for each in self._mail if each[0] > self.now_s]
        for _, node, beat in due:
            entry = self.entries.get(node)
            if entry is not None and entry.frozen:
                entry.kept.append(beat)
            elif entry is not None:
                entry.hear(beat, self.now_s + entry.clock_s, self.guards.echoed)

    def wake(self, entry: SendEntry) -> None:
        """Let an entry go on that stood still; it finds what came meanwhile."""
        entry.frozen = False
        kept, entry.kept = entry.kept, []
        for beat in kept:
            entry.hear(beat, self.now_s + entry.clock_s, self.guards.echoed)

    def burst(self, entry: SendEntry, target: InstanceId, number: int, connect_s: float) -> int:
        """Have an entry try to send requests at once; return how many were sent."""
        sent = 0
        for _ in range(number):
            now_s = self.now_s + entry.clock_s
            allowed = entry.limit.allows(SERVICE, target, now_s)
            if entry.frozen or (self.guards.limited and not allowed):
                continue
            attempt = Attempt(target, "x:1", HallId("h"), target, begun_s=now_s)
            entry.limit.sent(attempt)
            if not self.guards.held:
                attempt.record_written(now_s)
            self._writes.append((self.now_s + connect_s, entry, attempt))
            sent += 1
        self._write()
        return sent

    def _write(self) -> None:
        due = [each for each in self._writes if each[0] <= self.now_s]
        self._writes = [each for each in self._writes if each[0] > self.now_s]
        for _, entry, attempt in due:
            if self.entries.get(entry.name) is entry:
                self.written[attempt.instance].append(self.now_s)
                if self.guards.held:
                    attempt.record_written(self.now_s + entry.clock_s)

    def most(self) -> int:
        """Return the most requests that any target got within a second."""
        return max((_most(times) for times in self.written.values()), default=0)


def _most(times: list[float]) -> int:
    return max(
        sum(begin_s <= each <= begin_s + 1.0 + STEP_S / 10 for each in times)
        for begin_s in set(times)
    )


__all__ = ["ALLOWANCE", "LENDABLE", "SERVICE", "Guards", "SendEntry", "SendWorld"]
