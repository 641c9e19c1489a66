# SPDX-License-Identifier: Apache-2.0
"""Orders of a lease holder that another process may have replaced without its knowledge."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import DomainId, Epoch, HallId, InstanceId, NodeId
from ochreway_core.peer import Peer
from ochreway_core.table import CommitReply, CommitStatus, Transaction
from ochreway_direct.coordinator import Assignment
from ochreway_direct.enginestate import EngineState
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import FORWARDING_DELAY_S, Peers
from ochreway_direct.entry import DirectEntry
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.leases.authority import Authority
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.messages import Heartbeat
from ochreway_direct.order import Join
from ochreway_direct.settings import DirectSettings
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_standins.engineworld import CONFIGURATION, LARGE, SERVICE
from ochreway_standins.spreadworld import VirtualLoop

TIMING = DirectTiming()
FREEZE_S = 2.9
ME = KnownEntry(Peer(NodeId("me"), "me:1"), HallId("h"), 1.0)
OTHER = Peer(NodeId("other"), "other:1")
NEWS_DELAY_S = TIMING.peer_silent_s + FORWARDING_DELAY_S


class DarkTable(MemoryTable):
    """Table that answers nothing while it is ``dark``."""

    def __init__(self) -> None:
        super().__init__()
        self.dark = False

    async def read(self, prefixes: tuple[str, ...]) -> Any:
        if self.dark:
            raise TableUnavailable("dark")
        return self.read_now(prefixes)

    async def commit(self, transaction: Transaction) -> CommitReply:
        return CommitReply(CommitStatus.LOST) if self.dark else self.commit_now(transaction)


def run_virtual(work: Coroutine[None, None, None]) -> None:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work)


class Holding:
    """Lease of this process, acquired at 100 s, with one other entry that it hears."""

    def __init__(self) -> None:
        self.table = DarkTable()
        self.peers = Peers(ME, TIMING.peer_silent_s)
        backoff = Backoff(0.1, 1.0, random.Random(1))
        holder = Holder(ME.peer.node, "1")
        self.lease = Lease(self.table, holder, TIMING.lease_renew_s, backoff)
        self.causes: list[str] = []
        self.authority = Authority(self.lease, self.peers, TIMING, self.causes.append)

    async def acquire(self) -> None:
        await self.lease.observe(100.0)
        await self.lease.acquire(100.0)
        self.hear(100.0)
        self.peers.update_expected({OTHER.node}, 100.0)

    def hear(self, now_s: float) -> None:
        heartbeat = mock.MagicMock(spec=Heartbeat, holder=None, entries=(), stopping=False)
        heartbeat.hall, heartbeat.strength = HallId("h"), 1.0
        self.peers.on_heartbeat(OTHER, heartbeat, now_s)

    def tick_until(self, end_s: float, begin_s: float, heard: bool = True) -> None:
        for n in range(round((end_s - begin_s) / TIMING.tick_s) + 1):
            now_s = begin_s + n * TIMING.tick_s
            if heard:
                self.hear(now_s)
            self.authority.may_order(now_s)


class AuthorityTests(testtools.TestCase):
    def test_a_holder_that_stood_still_orders_only_once_its_lease_is_confirmed(self) -> None:
        async def work() -> None:
            held = Holding()
            await held.acquire()
            held.tick_until(101.0, 100.0)
            woken_s = 101.0 + FREEZE_S
            self.assertFalse(held.authority.may_order(woken_s))
            self.assertTrue(held.lease.due(woken_s))
            await held.lease.renew(woken_s + 0.01)
            self.assertTrue(held.authority.may_order(woken_s + 0.02))
            self.assertEqual(["paused"], held.causes)

        asyncio.run(work())

    def test_a_renewal_from_before_the_pause_confirms_nothing(self) -> None:
        # Its answer was on its way when the process stood still; others acquired the lease since.
        async def work() -> None:
            held = Holding()
            await held.acquire()
            held.tick_until(101.0, 100.0)
            woken_s = 101.0 + FREEZE_S
            self.assertFalse(held.authority.may_order(woken_s))
            await held.lease.renew(101.0)
            self.assertFalse(held.authority.may_order(woken_s + 0.05))
            self.assertTrue(held.lease.due(woken_s + 0.05))

        asyncio.run(work())

    def test_while_the_store_is_dark_contact_confirms_the_lease(self) -> None:
        async def work() -> None:
            held = Holding()
            await held.acquire()
            held.tick_until(101.0, 100.0)
            held.table.dark = True
            woken_s = 101.0 + FREEZE_S
            held.tick_until(woken_s + NEWS_DELAY_S - 0.1, woken_s)
            self.assertFalse(held.authority.may_order(woken_s + NEWS_DELAY_S - 0.05))
            self.assertTrue(held.authority.may_order(woken_s + NEWS_DELAY_S + 0.05))

        asyncio.run(work())

    def test_an_entry_that_is_not_heard_may_be_the_new_holder(self) -> None:
        async def work() -> None:
            held = Holding()
            await held.acquire()
            held.tick_until(101.0, 100.0)
            held.table.dark = True
            held.tick_until(114.0, 101.0 + FREEZE_S, heard=False)
            self.assertFalse(held.authority.may_order(114.05))

        asyncio.run(work())

    def test_a_dark_store_alone_takes_no_authority(self) -> None:
        async def work() -> None:
            held = Holding()
            await held.acquire()
            held.table.dark = True
            held.tick_until(160.0, 100.0)
            self.assertTrue(held.authority.may_order(160.05))
            self.assertEqual([], held.causes)

        asyncio.run(work())

    def test_a_holder_that_hears_nobody_in_a_dark_store_gives_no_orders(self) -> None:
        async def work() -> None:
            held = Holding()
            await held.acquire()
            held.table.dark = True
            held.tick_until(110.0, 100.0, heard=False)
            self.assertFalse(held.authority.may_order(110.05))
            self.assertEqual(["isolated"], held.causes)

        asyncio.run(work())


class FrozenEntryTests(testtools.TestCase):
    """The first turn of an entry's loop after it stood still, before any news is read."""

    def entry(self, table: MemoryTable, sent: list[Assignment]) -> DirectEntry:
        services: Any = mock.MagicMock()
        services.table = table
        settings = DirectSettings(
            *("e", "h", "adapter", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "http://h:4"),
            link_key="k" * 32,
        )
        log = EventLog("entry", "e", "critical")
        entry = DirectEntry(settings, services, TIMING, log, Metrics(None, "entry"))
        run_tick = entry.coordination.coordinator.tick

        def tick(*arguments: Any) -> list[Assignment]:
            sent.extend(run_tick(*arguments))
            return []

        entry.coordination.coordinator.tick = tick  # type: ignore[method-assign]
        return entry

    def show_engines(self, entry: DirectEntry, now_s: float) -> None:
        """Let engines of one group report that they are free, with their weights staged."""
        state = EngineState(DomainId("d"), None, (LARGE.name,), None)
        listed = [
            ListedTarget(InstanceId(f"i{n}"), SERVICE, f"i{n}:1", HallId("h"), engine=state)
            for n in range(LARGE.size)
        ]
        coordinator = entry.coordination.coordinator
        coordinator.configure(CONFIGURATION)
        entry.coordination.begin(Epoch(100_000), listed, LastModels(), now_s, -1.0e9)
        for each in listed:
            coordinator.on_state(each.instance, state, now_s)

    def joins(self, sent: list[Assignment]) -> int:
        return sum(isinstance(each.order, Join) for each in sent)

    def play(self, freeze_s: float) -> tuple[int, int]:
        """Return the joins of the first turn after a freeze, and those after a renewal."""
        counts: list[int] = []

        async def work() -> None:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.now_s = 100.0
            table, sent = MemoryTable(), list[Assignment]()
            entry = self.entry(table, sent)
            await entry.lease.observe(100.0)
            await entry.lease.acquire(100.0)
            entry._tick(loop.now_s)
            self.show_engines(entry, loop.now_s)
            loop.now_s += freeze_s
            entry._tick(loop.now_s)
            loop.now_s += TIMING.tick_s
            entry._tick(loop.now_s)
            counts.append(self.joins(sent))
            await entry.lease.renew(loop.now_s)
            for _ in range(10):
                loop.now_s += TIMING.tick_s
                entry._tick(loop.now_s)
            counts.append(self.joins(sent))

        run_virtual(work())
        first, later = counts
        return first, later

    def test_an_entry_that_stood_still_gives_no_orders_in_its_first_turns(self) -> None:
        first, later = self.play(FREEZE_S)
        self.assertEqual(0, first)
        self.assertEqual(LARGE.size, later)

    def test_an_entry_that_runs_gives_them_at_once(self) -> None:
        first, _ = self.play(2 * TIMING.tick_s)
        self.assertEqual(LARGE.size, first)
