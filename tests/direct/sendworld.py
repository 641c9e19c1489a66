# SPDX-License-Identifier: Apache-2.0
"""Entries that send to targets through the real limit, with failing links and store."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from ochreway_core.backoff import Backoff
from ochreway_core.ids import ChangeId, HallId, InstanceId, NodeId
from ochreway_core.table import CommitReply, CommitStatus, Row, Transaction
from ochreway_direct.configuration import ColdStart, Service
from ochreway_direct.ids import ServiceName
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.formerloans import FormerLoans
from ochreway_direct.sendlimits.heldloans import SENT_LAPSE_S, HeldLoans
from ochreway_direct.sendlimits.lender import Lender
from ochreway_direct.sendlimits.loan import Loan
from ochreway_direct.sendlimits.loanbounds import Bounds
from ochreway_direct.sendlimits.loankeeper import LoanKeeper
from ochreway_direct.sendlimits.loannews import LoanNews
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

SERVICE = ServiceName("s")
COLD = Service(SERVICE, 100, cold_start=ColdStart(4.0, 3.0))
EXCESS = 1.5
SLACK = 4.0
ALLOWANCE = 10
"""Small, so that hardly anything is left over: seven are static shares, three are lent."""
LENDABLE = 3
HEARTBEAT_INTERVAL_S = 0.3
LEASE_RENEW_S = 2.0
STEP_S = 0.1
PEER_TIMEOUT_S = 1.0
T = TypeVar("T")


def run_synchronously(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never suspends."""
    try:
        work.send(None)
    except StopIteration as end:
        return end.value  # type: ignore[no-any-return]
    raise AssertionError("the coroutine suspended")


class UnreliableTable(MemoryTable):
    """Give access to a shared table, unless it is unreachable or its answers are lost.

    The last write while it was unreachable is held up, and may take effect later.
    """

    def __init__(self, shared: MemoryTable) -> None:
        super().__init__()
        self.shared = shared
        self.unreachable = False
        self.answers_lost = False
        self.held_up: Transaction | None = None

    async def read(self, prefixes: tuple[str, ...]) -> dict[str, Row]:
        if self.unreachable or self.answers_lost:
            raise TableUnavailable("cut")
        return dict(self.shared.read_now(prefixes))

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.unreachable:
            self.held_up = transaction
            return CommitReply(CommitStatus.LOST)
        reply = self.shared.commit_now(transaction)
        return CommitReply(CommitStatus.LOST) if self.answers_lost else reply


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Hold the fields of a heartbeat that concern loans."""

    sender: NodeId
    sent_s: float
    echo_s: float | None
    names: tuple[NodeId, ...]
    loan: Loan | None
    incarnation: str
    news: LoanNews | None


@dataclass(frozen=True, slots=True)
class Guards:
    """Switch single guards off, to show that each is needed."""

    limited: bool = True
    new_holder_waits: bool = True
    loans_counted: bool = True
    loans_from_echo: bool = True
    counted_until_written: bool = True
    starts_silent: bool = True
    answers_awaited: bool = True
    held_loans_counted: bool = True
    older_leases_refused: bool = True
    ended_processes_counted: bool = True
    borrowers_registered: bool = True
    former_borrowers_kept: bool = True
    row_of_former_lease_only: bool = True
    lost_writes_doubted: bool = True
    dark_table_waited_for: bool = True
    bounds_respected: bool = True


class UnguardedHeldLoans(HeldLoans):
    """Accept loans of older leases."""

    def accept(self, loan: Loan, echo_s: float, now_s: float) -> bool:
        return super().accept(replace(loan, lease=0), echo_s, now_s)


class UnguardedFormerLoans(FormerLoans):
    """Consider all former loans known as soon as the register was read."""

    def possible(self, now_s: float) -> frozenset[Borrower]:
        return frozenset()


class ForgetfulFormerLoans(FormerLoans):
    """Consider the loans of a process lapsed as soon as it has ended."""

    def _end(self, borrower: Borrower, ended_s: float) -> None:
        super()._end(borrower, ended_s - SENT_LAPSE_S)


class UnguardedLender(Lender):
    """Omit the steps that guards switch off."""

    def __init__(self, guards: Guards) -> None:
        super().__init__(
            **({} if guards.new_holder_waits else {"new_holder_delay_s": 0.0}),
            **({} if guards.loans_counted else {"loan_lapse_s": 0.0}),
        )
        self._guards = guards

    def on_lease_taken(self, now_s: float) -> None:
        super().on_lease_taken(now_s)
        if not self._guards.answers_awaited:
            self.former = UnguardedFormerLoans()
        elif not self._guards.ended_processes_counted:
            self.former = ForgetfulFormerLoans()

    def on_news(self, sender: Borrower, news: LoanNews, lease: int, now_s: float) -> None:
        held = news.held if self._guards.held_loans_counted else ()
        super().on_news(sender, replace(news, held=held), lease, now_s)

    def possible_bounds(self, now_s: float) -> Bounds:
        return super().possible_bounds(now_s) if self._guards.former_borrowers_kept else {}


class AnyBorrower(dict[Borrower, Mapping[ServiceName, int]]):
    """Bounds that allow everything to be lent to any process."""

    def get(self, *_: object) -> Mapping[ServiceName, int]:
        return {SERVICE: LENDABLE}


class UnguardedRegister(LoanRegister):
    """Omit the steps that guards switch off."""

    guards = Guards()

    def _apply(self, stored: Row | None) -> None:
        if not self.guards.lost_writes_doubted:
            self._doubtful = None
        super()._apply(stored)

    @property
    def registered(self) -> Bounds:
        if not self.guards.borrowers_registered:
            return AnyBorrower(super().registered)
        if not self.guards.bounds_respected:
            return {each: {SERVICE: LENDABLE} for each in super().registered}
        return super().registered

    async def write(self, bounds: Bounds, entries: frozenset[NodeId], now_s: float) -> bool:
        if super().registered and not self.guards.borrowers_registered:
            return True
        return await super().write(bounds, entries, now_s)


class UnguardedKeeper(LoanKeeper):
    """Use the row of any lease, or none if it cannot be read, if the guard is switched off."""

    guards = Guards()

    async def _read_register(self, now_s: float) -> bool:
        read = await super()._read_register(now_s)
        if not read and not self.guards.dark_table_waited_for:
            self._loans.take_over({})
        return read

    def _take_over(self, now_s: float) -> None:
        if not self.guards.row_of_former_lease_only and self._register.row is not None:
            self._lease.former_term = self._register.row.term
        super()._take_over(now_s)


class PreviousLease(Lease):
    """Lease of the previous build, whose rows name no term."""

    async def _write(self, change: ChangeId, term: str, released: bool, now_s: float) -> bool:
        return await super()._write(change, "", released, now_s)


class SendEntry:
    """An entry with its limit, its loans and its clock."""

    def __init__(
        self,
        world: "SendWorld",
        name: NodeId,
        incarnation: int,
        clock_s: float,
        previous_build: bool,
    ) -> None:
        self._world = world
        self.name = name
        self.clock_s = clock_s
        self.started_s = world.now_s + clock_s
        self.log = RecordedLog()
        self.metrics = Metrics(None, "entry")
        self.static_share = StaticShare(name, world.seeds, self.started_s)
        self.limit = FleetLimit(
            *(lambda: (world.service,), EXCESS, SLACK, self.static_share, ColdTargets(self.log)),
            *(self.started_s, self.log, self.metrics),
        )
        self.table = UnreliableTable(world.table)
        backoff = Backoff(0.1, 1.0, random.Random(1))
        build = PreviousLease if previous_build else Lease
        self.lease = build(self.table, Holder(name, str(incarnation)), LEASE_RENEW_S, backoff)
        guards = world.guards
        self.previous_build = previous_build
        if not guards.older_leases_refused:
            self.limit.held = UnguardedHeldLoans()
        self.incarnation = str(incarnation)
        self.register = UnguardedRegister(self.table, self.lease, backoff)
        self.register.guards = guards
        self.loans = Loans(
            *(Borrower(name, self.incarnation), self.limit, self.lease, self._weights),
            *(UnguardedLender(guards), None if previous_build else self.register),
        )
        self.keeper = UnguardedKeeper(
            *(self.loans, self.register, self.lease, self.static_share),
            *(lambda: world.send_to_all(self), lambda _: None, self.log, self.metrics),
        )
        self.keeper.guards = guards
        self.last_received: dict[NodeId, tuple[float, float]] = {}
        self.names: set[NodeId] = set()
        self.weight = 1.0
        self.frozen = False
        self.undelivered: list[Heartbeat] = []

    def _weights(self, now_s: float) -> dict[NodeId, float]:
        entries = self._world.entries
        known = [name for name in self._alive(now_s) if name in entries]
        return {name: entries[name].weight for name in (self.name, *known)}

    def _alive(self, now_s: float) -> list[NodeId]:
        return [n for n, (_, at_s) in self.last_received.items() if now_s - at_s < PEER_TIMEOUT_S]

    def tick(self, now_s: float) -> None:
        alive = self._alive(now_s)
        self.loans.refresh(self.names, bool(alive), now_s, alive)
        if self.lease.due(now_s):
            run_synchronously(self.lease.renew(now_s))

    def keep_register(self, now_s: float) -> None:
        if self.previous_build:
            return
        run_synchronously(self.keeper.update(now_s))
        for borrower in self.loans.unanswered(now_s):
            if borrower.node not in self._world.entries:
                self.loans.on_ended(borrower, now_s)

    def heartbeat_to(self, node: NodeId, now_s: float) -> Heartbeat:
        echo_s = self.last_received[node][0] if node in self.last_received else None
        names = (self.name, *self.names)
        loan, news = self.loans.lend(node, now_s), self.loans.news(now_s)
        return Heartbeat(self.name, now_s, echo_s, names, loan, self.incarnation, news)

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float, loans_from_echo: bool) -> None:
        self.last_received[heartbeat.sender] = (heartbeat.sent_s, now_s)
        self.names |= set(heartbeat.names) - {self.name}
        process = Borrower(heartbeat.sender, heartbeat.incarnation)
        if self.loans.on_news(process, heartbeat.news, now_s):
            self._world.send(self, heartbeat.sender, now_s)
        loan = heartbeat.loan
        if self.previous_build and loan is not None:
            loan = Loan(loan.shares)
        if not loans_from_echo:
            self.loans.borrow(loan, now_s, now_s)
        elif heartbeat.echo_s is not None and self.started_s <= heartbeat.echo_s <= now_s:
            self.loans.borrow(loan, heartbeat.echo_s, now_s)

    def take_lease(self, now_s: float) -> bool:
        run_synchronously(self.lease.observe(now_s))
        taken = run_synchronously(self.lease.acquire(now_s))
        if taken and not self.frozen:
            self._world.send_to_all(self)
        return taken

    def release_lease(self, now_s: float) -> None:
        if self.lease.held:
            asyncio.run(self.lease.release(now_s))


@dataclass(slots=True)
class SendWorld:
    """Advance time, deliver messages, and record when requests are written to targets."""

    seeds: int
    guards: Guards = Guards()
    service: Service = COLD
    previous_build: bool = False
    now_s: float = 100.0
    table: MemoryTable = field(default_factory=MemoryTable)
    entries: dict[NodeId, SendEntry] = field(default_factory=dict)
    cut_links: set[frozenset[NodeId]] = field(default_factory=set)
    delays_s: dict[NodeId, float] = field(default_factory=dict)
    written: dict[InstanceId, list[float]] = field(default_factory=lambda: defaultdict(list))
    max_borrowed: int = 0
    _in_flight: list[tuple[float, NodeId, Heartbeat]] = field(default_factory=list)
    _writes: list[tuple[float, SendEntry, Attempt]] = field(default_factory=list)
    _clocks_s: dict[NodeId, float] = field(default_factory=dict)
    _incarnations: int = 0
    _steps: int = 0

    def __post_init__(self) -> None:
        for number in range(self.seeds):
            self.start_entry(NodeId(f"e{number}"), self.previous_build)

    def start_entry(self, name: NodeId, previous_build: bool = False) -> SendEntry:
        """Start an entry, or a new incarnation of one; each instance has its own clock."""
        self._incarnations += 1
        clock_s = self._clocks_s.setdefault(name, 1000.0 * len(self._clocks_s))
        entry = SendEntry(self, name, self._incarnations, clock_s, previous_build)
        if not self.guards.starts_silent:
            entry.limit._send_from_s = entry.started_s
        self.entries[name] = entry
        return entry

    def kill(self, name: NodeId) -> None:
        """End an entry; others that are connected notice at once."""
        incarnation = self.entries.pop(name).incarnation
        for entry in self.entries.values():
            if not entry.frozen and frozenset((name, entry.name)) not in self.cut_links:
                entry.loans.on_ended(Borrower(name, incarnation), self.now_s + entry.clock_s)

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self._steps += 1
            self.now_s += STEP_S
            self._write()
            self._deliver()
            for entry in list(self.entries.values()):
                if not entry.frozen:
                    entry.keep_register(self.now_s + entry.clock_s)
            if self._steps % round(HEARTBEAT_INTERVAL_S / STEP_S) == 0:
                self._exchange_heartbeats()
            self.max_borrowed = max(self.max_borrowed, self._borrowed())

    def _borrowed(self) -> int:
        """Return what all entries have borrowed now."""
        loans = (e.limit.loan_of(SERVICE, self.now_s + e.clock_s) for e in self.entries.values())
        return sum(loans)

    def _exchange_heartbeats(self) -> None:
        for entry in list(self.entries.values()):
            if entry.frozen:
                continue
            now_s = self.now_s + entry.clock_s
            entry.tick(now_s)
            self.send_to_all(entry)

    def send_to_all(self, entry: SendEntry) -> None:
        """Send a heartbeat to every other entry."""
        for other in self.entries:
            if other != entry.name:
                self.send(entry, other, self.now_s + entry.clock_s)

    def send(self, entry: SendEntry, other: NodeId, now_s: float) -> None:
        """Send a heartbeat, unless the link is cut."""
        if frozenset((other, entry.name)) not in self.cut_links:
            due_s = self.now_s + self.delays_s.get(entry.name, 0.0)
            self._in_flight.append((due_s, other, entry.heartbeat_to(other, now_s)))

    def _deliver(self) -> None:
        due = [each for each in self._in_flight if each[0] <= self.now_s]
        self._in_flight = [each for each in self._in_flight if each[0] > self.now_s]
        for _, node, heartbeat in due:
            entry = self.entries.get(node)
            if entry is not None and entry.frozen:
                entry.undelivered.append(heartbeat)
            elif entry is not None:
                entry.on_heartbeat(
                    heartbeat, self.now_s + entry.clock_s, self.guards.loans_from_echo
                )

    def unfreeze(self, entry: SendEntry) -> None:
        """Let a frozen entry continue; it then receives what was sent meanwhile."""
        entry.frozen = False
        backlog, entry.undelivered = entry.undelivered, []
        for heartbeat in backlog:
            entry.on_heartbeat(heartbeat, self.now_s + entry.clock_s, self.guards.loans_from_echo)

    def burst(self, entry: SendEntry, target: InstanceId, number: int, connect_s: float) -> int:
        """Let an entry try to send requests at once; return how many were sent."""
        sent = 0
        for _ in range(number):
            now_s = self.now_s + entry.clock_s
            allowed = entry.limit.allows(SERVICE, target, now_s)
            if entry.frozen or (self.guards.limited and not allowed):
                continue
            attempt = Attempt(target, "x:1", HallId("h"), target, begun_s=now_s)
            entry.limit.record_sent(attempt)
            if not self.guards.counted_until_written:
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
                if self.guards.counted_until_written:
                    attempt.record_written(self.now_s + entry.clock_s)

    def usable(self, target: InstanceId) -> int:
        """Return how many requests a second all entries together may send to a target now."""
        total = 0
        for entry in self.entries.values():
            share = entry.limit._share(self.service.name, target, self.now_s + entry.clock_s)
            total += share or 0
        return total

    def max_per_second(self) -> int:
        """Return the most requests that any target received within a second."""
        return max((_max_within_second(times) for times in self.written.values()), default=0)


def _max_within_second(times: list[float]) -> int:
    return max(
        sum(begin_s <= each <= begin_s + 1.0 + STEP_S / 10 for each in times)
        for begin_s in set(times)
    )


__all__ = [
    "ALLOWANCE",
    "EXCESS",
    "LENDABLE",
    "SERVICE",
    "SLACK",
    "Guards",
    "SendEntry",
    "SendWorld",
]
