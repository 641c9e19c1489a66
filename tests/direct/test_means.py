# SPDX-License-Identifier: Apache-2.0
import random
import tempfile
from pathlib import Path

import testtools

from ochreway_core.ids import HallId, NodeId, Version
from ochreway_core.peer import Peer
from ochreway_direct.bounds.means import FILE_DESCRIPTORS, Means, means_of
from ochreway_direct.bounds.meanswatch import MeansWatch
from ochreway_direct.bounds.memoryreader import MemoryReader
from ochreway_direct.bounds.pressure import HELD_AT_MOST_S, Pressure
from ochreway_direct.bounds.resource import Resource
from ochreway_direct.configuration import CallerLimits, Configuration, Service
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import Peers
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.ids import ServiceName
from ochreway_direct.serving import Serving
from ochreway_direct.settings import DirectSettings
from ochreway_direct.versions.freshness import Freshness, KeyTrust
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


def settings(
    descriptors: int = 0, memory_mb: float = 0.0, link_mbps: float = 0.0
) -> DirectSettings:
    return DirectSettings(
        *("e", "h", "adapter", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "http://127.0.0.1:4"),
        descriptors=descriptors,
        memory_mb=memory_mb,
        link_mbps=link_mbps,
    )


class MeansTests(testtools.TestCase):
    def test_what_is_not_given_is_not_bounded(self) -> None:
        self.assertEqual(Means(), means_of(settings()))

    def test_callers_their_targets_and_resting_connections_leave_room(self) -> None:
        for descriptors in (1_124, 1_535, 4_100, 8_192):
            means = means_of(settings(descriptors))
            assert means.callers is not None
            assert means.resting is not None
            left = descriptors - FILE_DESCRIPTORS - 2 * means.callers - means.resting
            self.assertGreaterEqual(left, 0.1 * (descriptors - FILE_DESCRIPTORS))

    def test_memory_and_link_are_in_bytes(self) -> None:
        means = means_of(settings(memory_mb=152, link_mbps=14))
        self.assertEqual(152e6, means.memory_bytes)
        self.assertEqual(1.75e6, means.link_bytes_per_s)


class PressureTests(testtools.TestCase):
    def test_it_turns_only_beyond_both_shares(self) -> None:
        pressure = Pressure(0.9, 0.8)
        shares = (0.85, 0.9, 0.85, 0.8, 0.79, 0.85)
        seen = [(pressure.update(share, 1.0), pressure.near) for share in shares]
        quiet, near = (False, False), (False, True)
        self.assertEqual([quiet, (True, True), near, near, (True, False), quiet], seen)

    def test_it_ends_after_a_while_where_use_stays_between_both_shares(self) -> None:
        pressure = Pressure(0.9, 0.8)
        pressure.update(0.9, 1.0)
        pressure.update(0.85, HELD_AT_MOST_S)
        self.assertTrue(pressure.near)
        pressure.update(0.85, 1.0 + HELD_AT_MOST_S)
        self.assertFalse(pressure.near)
        pressure.update(0.85, 2.0 + HELD_AT_MOST_S)
        self.assertFalse(pressure.near)


class MeansWatchTests(testtools.TestCase):
    def watch(self, means: Means, memory: MemoryReader | None = None) -> MeansWatch:
        fleet = Fleet(HallId("h"), random.Random(1))
        freshness = Freshness(60.0, KeyTrust.LAST_KNOWN)
        self.serving = Serving(fleet, freshness)
        services = (Service(ServiceName("a"), 100), Service(ServiceName("b"), 60))
        self.serving.apply(Configuration(Version(1), (), services, (), CallerLimits()))
        me = KnownEntry(Peer(NodeId("e"), "127.0.0.1:1"), HallId("h"), 1.0)
        self.peers = Peers(me, 1.0)
        self.metrics = Metrics(None, "entry")
        log = EventLog("entry", "e", "error")
        return MeansWatch(means, self.serving, self.peers, log, self.metrics, memory=memory)

    def test_near_its_connections_an_entry_is_not_ready(self) -> None:
        watch = self.watch(Means(callers=20))
        self.assertTrue(self.serving.ready(0.0))
        watch.callers.open = 17
        watch.check(0.0)
        self.assertFalse(self.serving.ready(0.0))
        self.assertEqual(1, self.metrics.counters["means.connections"])
        watch.callers.open = 15
        watch.check(0.25)
        self.assertFalse(self.serving.ready(0.0))
        watch.callers.open = 13
        watch.check(0.5)
        self.assertTrue(self.serving.ready(0.0))

    def test_a_full_link_is_seen_over_a_second(self) -> None:
        watch = self.watch(Means(link_bytes_per_s=1_000.0))
        for quarter in range(9):
            self.serving.sent_bytes = 300 * quarter
            watch.check(quarter / 4)
        self.assertEqual({Resource.LINK}, self.serving.short_of)
        self.assertEqual(1.2, watch.gauges()["link_share"])
        for quarter in range(9, 14):
            watch.check(quarter / 4)
        self.assertEqual(set(), self.serving.short_of)

    def test_one_large_answer_is_no_full_link(self) -> None:
        watch = self.watch(Means(link_bytes_per_s=1_000.0))
        watch.check(0.0)
        self.serving.sent_bytes = 800
        watch.check(0.25)
        self.assertEqual(set(), self.serving.short_of)

    def test_memory_near_its_bound_sends_new_callers_elsewhere(self) -> None:
        path = Path(tempfile.mkdtemp(prefix="ochreway-means-")) / "statm"
        reader = MemoryReader(path)
        path.write_text("9 1 0 0 0 0 0\n")
        page_bytes = reader.resident_bytes()
        watch = self.watch(Means(memory_bytes=100.0 * page_bytes), reader)
        for pages, short in ((89, False), (90, True), (85, True), (79, False)):
            path.write_text(f"200 {pages} 0 0 0 0 0\n")
            watch.check(0.0)
            self.assertEqual(short, Resource.MEMORY in self.serving.short_of, pages)

    def test_memory_that_cannot_be_read_bounds_nothing(self) -> None:
        watch = self.watch(Means(memory_bytes=1.0), MemoryReader(Path("/nonexistent/statm")))
        watch.check(0.0)
        watch.check(0.25)
        self.assertEqual(set(), self.serving.short_of)

    def test_this_process_has_a_size(self) -> None:
        self.assertGreater(MemoryReader().resident_bytes(), 1_000_000)

    def test_connections_that_one_target_allows_are_shared_among_entries(self) -> None:
        watch = self.watch(Means())
        watch.check(0.0)
        self.assertEqual(60, watch.resting.max_per_target)
        for number in range(3):
            self.peers.add_linked(Peer(NodeId(f"e{number}"), f"127.0.0.1:{number}"), 0.0)
        watch.check(0.25)
        self.assertEqual(15, watch.resting.max_per_target)
        self.assertIsNone(watch.resting.max_total)
