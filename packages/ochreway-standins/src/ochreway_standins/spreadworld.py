# SPDX-License-Identifier: Apache-2.0
"""Entries that exchange heartbeats under virtual time, to measure what that costs and brings."""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from ochreway_core.backoff import Backoff
from ochreway_core.crashnews import CrashNews
from ochreway_core.ids import CauseId, HallId, InstanceId, NodeId, Version
from ochreway_core.peer import Peer
from ochreway_direct.configuration import Configuration, Service
from ochreway_direct.crashes.crashspread import CrashSpread
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.demand.firsttries import FirstTries
from ochreway_direct.drains.drainkeeper import DrainKeeper
from ochreway_direct.drains.halldrains import HallDrains
from ochreway_direct.entries.cells import MAX_MESH_ENTRIES
from ochreway_direct.entries.heartbeats import Heartbeats
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import Peers
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.messages import Heartbeat
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_direct.serving import Serving
from ochreway_direct.timing import DirectTiming
from ochreway_direct.versions.freshness import Freshness
from ochreway_platform.memorytable import MemoryTable
from ochreway_routing.crashbook import CrashBook
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_wire.batch import PreparedMessage, encode_batch

STEP_S = 0.05
SEEDS = 3
KEY_TRUST_S = 4.5
LIST_TRUST_S = 1.4
HALL_DRAIN_S = 5.0
COLD_EXCESS = 1.5
COLD_SLACK = 5.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Tell a time that stands still unless it is moved."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def time(self) -> float:
        """Return the virtual time."""
        return self.now_s


class FakeLinks:
    """Carry messages between the entries of a world."""

    def __init__(self, world: "SpreadWorld", me: Peer) -> None:
        self._world = world
        self._me = me

    def send(self, peer: Peer, message: object) -> None:
        """Send a message; it arrives with the next step."""
        self._world.carry(self._me, peer, message)

    def send_all(self, peers: list[Peer], message: object) -> None:
        """Send a message to several entries."""
        for peer in peers:
            self.send(peer, message)

    def drop(self, node: NodeId) -> None:
        """Give a link up; the next message goes over a new one."""
        self._world.silenced -= {(self._me.node, node), (node, self._me.node)}

    def dial_address(self, address: str) -> None:
        """Get to know the entry at an address."""
        self._world.introduce(self._me, address)


class SpreadEntry:
    """Own what an entry needs to exchange heartbeats."""

    def __init__(
        self, world: "SpreadWorld", me: KnownEntry, seeds: tuple[str, ...], mesh_entries: int
    ) -> None:
        timing = DirectTiming()
        name = me.peer.node
        self.me = me
        began_s = world.now_s
        log, metrics = EventLog("entry", name, "error"), Metrics(None, "entry")
        self.limit = FleetLimit(
            self._services,
            COLD_EXCESS,
            COLD_SLACK,
            StaticShare(name, len(seeds), began_s),
            ColdTargets(log),
            *(began_s, log, metrics),
        )
        self.fleet = Fleet(me.hall, random.Random(1), limit=self.limit)
        self.serving = Serving(self.fleet, Freshness(KEY_TRUST_S))
        self.serving.apply(Configuration(Version(1)))
        self.peers = Peers(me, timing.peer_silent_s)
        backoff = Backoff(timing.backoff_base_s, timing.backoff_max_s, random.Random(1))
        self.lease = Lease(MemoryTable(), Holder(name, "1"), timing.lease_renew_s, backoff)
        links: Any = FakeLinks(world, me.peer)
        self.view = FleetView(LIST_TRUST_S)
        self.drains = DrainKeeper(
            *(HallDrains(HALL_DRAIN_S), self.fleet, lambda halls: None, self._halls_changed),
            *(EventLog("entry", name, "error"), Metrics(None, "entry")),
        )
        self.meter = DemandMeter(began_s)
        self.metrics = metrics
        self.first_tries = FirstTries(self.meter, metrics, began_s)
        self.loans = Loans(Borrower(name, "1"), self.limit, self.lease, self._asked)
        self.heartbeats = Heartbeats(
            *("1", me, seeds, self.peers, links, self.serving, self.view, self.lease),
            *(self.first_tries, self.drains, lambda: None, mesh_entries, self.loans),
        )
        self.crashes = CrashBook()
        watch = CrashWatch(self.crashes, log, metrics)
        self.crash_spread = CrashSpread(self.crashes, watch, self.heartbeats, links)

    def _halls_changed(self) -> None:
        self.heartbeats.send(asyncio.get_running_loop().time())

    def _services(self) -> tuple[Service, ...]:
        return self.serving.services

    def _asked(self, now_s: float) -> dict[NodeId, float]:
        own = sum(self.meter.offered(now_s).values())
        return {**self.heartbeats.remote_work.offered_by_source(), self.me.peer.node: own}

    def crashed(self, cause: CauseId, targets: Sequence[InstanceId]) -> None:
        """Have targets end here, a second apart, and tell others of it if the cause is fatal."""
        now_s = asyncio.get_running_loop().time()
        for number, target in enumerate(targets):
            self.crashes.record_crash(cause, target, now_s - len(targets) + 1 + number)
        self.crash_spread.announce_again(now_s)

    def begin(self, place: str) -> None:
        """Begin a request at a place."""
        attempt: Any = Attempt(NodeId(place), "x:1", self.me.hall, place)  # type: ignore[arg-type]
        self.fleet.begin(attempt)


class SpreadWorld:
    """Step entries, deliver what they say, and count it."""

    def __init__(
        self,
        loop: VirtualLoop,
        entries: int,
        halls: int,
        mesh_entries: int = MAX_MESH_ENTRIES,
        step_s: float = STEP_S,
    ) -> None:
        self._loop = loop
        self.step_s = step_s
        self._steps = 0
        self._mail: deque[tuple[Peer, Peer, object]] = deque()
        self.entries: dict[NodeId, SpreadEntry] = {}
        self.cut: Callable[[NodeId, NodeId], bool] = lambda sender, receiver: False
        self.silenced: set[tuple[NodeId, NodeId]] = set()
        self.sent: Counter[NodeId] = Counter()
        self.sent_bytes: Counter[NodeId] = Counter()
        self.weigh = False
        known = [
            KnownEntry(
                Peer(NodeId(f"hall-{n % halls}-{n}"), f"h:{n}"), HallId(f"hall-{n % halls}"), 1.0
            )
            for n in range(entries)
        ]
        seeds = tuple(each.peer.address for each in known[:SEEDS])
        for each in known:
            entry = SpreadEntry(self, each, seeds, mesh_entries)
            self.entries[each.peer.node] = entry
        self._by_address = {each.peer.address: each.peer for each in known}

    @property
    def now_s(self) -> float:
        """Return the time."""
        return self._loop.now_s

    def carry(self, sender: Peer, receiver: Peer, message: object) -> None:
        """Take a message to be delivered."""
        self.sent[sender.node] += 1
        if self.weigh:
            whole = message if isinstance(message, PreparedMessage) else PreparedMessage(message)
            self.sent_bytes[sender.node] += len(encode_batch(Version(1), [whole]))
        self._mail.append((sender, receiver, message))

    def introduce(self, me: Peer, address: str) -> None:
        """Make two entries known to each other, as a link between them does."""
        other = self._by_address[address]
        if other.node not in self.entries or self.cut(me.node, other.node):
            return
        self.entries[me.node].peers.add_linked(other, self.now_s)
        self.entries[other.node].peers.add_linked(me, self.now_s)

    def lose(self, node: NodeId) -> SpreadEntry:
        """End an entry without a word."""
        return self.entries.pop(node)

    def run(self, for_s: float) -> None:
        """Let time pass."""
        for _ in range(round(for_s / self.step_s)):
            self._loop.now_s += self.step_s
            self._steps += 1
            self._beat()
            self._deliver()
            for entry in self.entries.values():
                entry.drains.tick(self.now_s)

    def _beat(self) -> None:
        """Have each entry send its heartbeat when it is due; they are out of step."""
        every = round(DirectTiming().heartbeat_s / self.step_s)
        for number, entry in enumerate(list(self.entries.values())):
            if (self._steps + number) % every == 0:
                entry.heartbeats.send(self.now_s)
                entry.crash_spread.announce_again(self.now_s)

    def _deliver(self) -> None:
        mail, self._mail = self._mail, deque()
        for sender, receiver, message in mail:
            entry = self.entries.get(receiver.node)
            if entry is None or sender.node not in self.entries:
                continue
            if (sender.node, receiver.node) in self.silenced:
                continue
            if self.cut(sender.node, receiver.node):
                continue
            if isinstance(message, Heartbeat):
                entry.heartbeats.receive(sender, message)
            elif isinstance(message, CrashNews):
                entry.crash_spread.on_news(sender, message)


def virtually(work: Callable[[VirtualLoop], None]) -> None:
    """Run something under a loop of virtual time."""

    async def run() -> None:
        work(loop)

    loop = VirtualLoop()
    try:
        task: Coroutine[None, None, None] = run()
        loop.run_until_complete(task)
    finally:
        loop.close()


__all__ = ["SpreadEntry", "SpreadWorld", "VirtualLoop", "virtually"]
