# SPDX-License-Identifier: Apache-2.0
import random
import tempfile
from pathlib import Path

import testtools

from ochreway_core.ids import HallId, NodeId, Version
from ochreway_core.peer import Peer
from ochreway_direct.bounds.memoryreader import MemoryReader
from ochreway_direct.bounds.pressure import MAX_HOLD_S, Pressure
from ochreway_direct.bounds.resource import Resource
from ochreway_direct.bounds.resourcebounds import RESERVED_DESCRIPTORS, ResourceBounds, bounds_of
from ochreway_direct.bounds.resourcewatch import ResourceWatch
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


class ResourceBoundsTests(testtools.TestCase):
    def test_what_is_not_given_is_not_bounded(self) -> None:
        self.assertEqual(ResourceBounds(), bounds_of(settings()))

    def test_callers_their_targets_and_idle_connections_leave_descriptors_for_links(self) -> None:
        for descriptors in (1_124, 1_535, 4_100, 8_192):
            bounds = bounds_of(settings(descriptors))
            assert bounds.callers is not None
            assert bounds.idle is not None
            left = descriptors - RESERVED_DESCRIPTORS - 2 * bounds.callers - bounds.idle
            self.assertGreaterEqual(left, 0.1 * (descriptors - RESERVED_DESCRIPTORS))

    def test_memory_and_link_are_in_bytes(self) -> None:
        bounds = bounds_of(settings(memory_mb=152, link_mbps=14))
        self.assertEqual(152e6, bounds.memory_bytes)
        self.assertEqual(1.75e6, bounds.link_bytes_per_s)


class PressureTests(testtools.TestCase):
    def test_pressure_has_hysteresis_between_both_shares(self) -> None:
        pressure = Pressure(0.9, 0.8)
        shares = (0.85, 0.9, 0.85, 0.8, 0.79, 0.85)
        seen = [(pressure.update(share, 1.0), pressure.near) for share in shares]
        far, near = (False, False), (False, True)
        self.assertEqual([far, (True, True), near, near, (True, False), far], seen)

    def test_pressure_ends_after_a_while_where_use_stays_between_both_shares(self) -> None:
        pressure = Pressure(0.9, 0.8)
        pressure.update(0.9, 1.0)
        pressure.update(0.85, MAX_HOLD_S)
        self.assertTrue(pressure.near)
        pressure.update(0.85, 1.0 + MAX_HOLD_S)
        self.assertFalse(pressure.near)
        pressure.update(0.85, 2.0 + MAX_HOLD_S)
        self.assertFalse(pressure.near)


class ResourceWatchTests(testtools.TestCase):
    def watch(self, bounds: ResourceBounds, memory: MemoryReader | None = None) -> ResourceWatch:
        fleet = Fleet(HallId("h"), random.Random(1))
        freshness = Freshness(60.0, KeyTrust.LAST_KNOWN)
        self.serving = Serving(fleet, freshness)
        services = (Service(ServiceName("a"), 100), Service(ServiceName("b"), 60))
        self.serving.apply(Configuration(Version(1), (), services, (), CallerLimits()))
        me = KnownEntry(Peer(NodeId("e"), "127.0.0.1:1"), HallId("h"), 1.0)
        self.peers = Peers(me, 1.0)
        self.metrics = Metrics(None, "entry")
        log = EventLog("entry", "e", "error")
        return ResourceWatch(bounds, self.serving, self.peers, log, self.metrics, memory=memory)

    def test_near_its_connections_an_entry_is_not_ready(self) -> None:
        watch = self.watch(ResourceBounds(callers=20))
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

    def test_a_full_link_is_detected_over_a_second(self) -> None:
        watch = self.watch(ResourceBounds(link_bytes_per_s=1_000.0))
        for quarter in range(9):
            self.serving.sent_bytes = 300 * quarter
            watch.check(quarter / 4)
        self.assertEqual({Resource.LINK}, self.serving.short_resources)
        self.assertEqual(1.2, watch.gauges()["link_share"])
        for quarter in range(9, 14):
            watch.check(quarter / 4)
        self.assertEqual(set(), self.serving.short_resources)

    def test_one_large_answer_is_no_full_link(self) -> None:
        watch = self.watch(ResourceBounds(link_bytes_per_s=1_000.0))
        watch.check(0.0)
        self.serving.sent_bytes = 800
        watch.check(0.25)
        self.assertEqual(set(), self.serving.short_resources)

    def test_memory_near_its_bound_sends_new_callers_elsewhere(self) -> None:
        path = Path(tempfile.mkdtemp(prefix="ochreway-means-")) / "statm"
        reader = MemoryReader(path)
        path.write_text("9 1 0 0 0 0 0\n")
        page_bytes = reader.resident_bytes()
        watch = self.watch(ResourceBounds(memory_bytes=100.0 * page_bytes), reader)
        for pages, short in ((89, False), (90, True), (85, True), (79, False)):
            path.write_text(f"200 {pages} 0 0 0 0 0\n")
            watch.check(0.0)
            self.assertEqual(short, Resource.MEMORY in self.serving.short_resources, pages)

    def test_memory_that_cannot_be_read_bounds_nothing(self) -> None:
        watch = self.watch(
            ResourceBounds(memory_bytes=1.0), MemoryReader(Path("/nonexistent/statm"))
        )
        watch.check(0.0)
        watch.check(0.25)
        self.assertEqual(set(), self.serving.short_resources)

    def test_the_memory_of_this_process_can_be_read(self) -> None:
        self.assertGreater(MemoryReader().resident_bytes(), 1_000_000)

    def test_connections_that_one_target_allows_are_shared_among_entries(self) -> None:
        watch = self.watch(ResourceBounds())
        watch.check(0.0)
        self.assertEqual(60, watch.idle_limits.max_per_target)
        for number in range(3):
            self.peers.add_linked(Peer(NodeId(f"e{number}"), f"127.0.0.1:{number}"), 0.0)
        watch.check(0.25)
        self.assertEqual(15, watch.idle_limits.max_per_target)
        self.assertIsNone(watch.idle_limits.max_total)
