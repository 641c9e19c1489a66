# SPDX-License-Identifier: Apache-2.0
"""Drained halls become known to every entry, and none sends there after the bound."""

from collections.abc import Callable
from functools import partial

import testtools

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId, NodeId
from ochreway_standins.spreadworld import (
    HALL_DRAIN_S,
    SpreadEntry,
    SpreadWorld,
    VirtualLoop,
    virtually,
)

SETTLE_S = 12.0
PROPAGATION_S = 1.5
"""Time in which a drain propagates from one entry over heads to all, also in other cells."""
DRAINED = HallId("hall-9")


class DrainSpreadTests(testtools.TestCase):
    def run_world(self, entries: int, work: Callable[[SpreadWorld], None]) -> None:
        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, entries, 5)
            world.run(SETTLE_S)
            for entry in world.entries.values():
                entry.drains.on_store_reading(DrainedHalls(5), world.now_s)
            work(world)

        virtually(run)

    def first(self, world: SpreadWorld) -> SpreadEntry:
        return next(iter(world.entries.values()))

    def drain(self, world: SpreadWorld) -> None:
        """Let one entry read the store before and after a hall is drained."""
        keeper = self.first(world).drains
        keeper.on_store_reading(DrainedHalls(5), world.now_s)
        keeper.on_store_reading(DrainedHalls(6, (DRAINED,)), world.now_s)

    def entries_aware(self, world: SpreadWorld) -> list[NodeId]:
        return [n for n, e in world.entries.items() if e.drains.gauges()["halls_draining"]]

    def closed(self, world: SpreadWorld) -> list[NodeId]:
        return [n for n, e in world.entries.items() if e.drains.gauges()["halls_closed"]]

    def test_a_drain_read_by_one_entry_reaches_all_and_the_hall_closes_in_time(self) -> None:
        for entries in (5, 36, 90):

            def work(world: SpreadWorld) -> None:
                read_s = world.now_s
                self.first(world).drains.on_store_reading(DrainedHalls(6, (DRAINED,)), world.now_s)
                world.run(PROPAGATION_S)
                self.assertEqual(len(world.entries), len(self.entries_aware(world)))
                self.assertEqual([], self.closed(world))
                world.run(read_s + HALL_DRAIN_S - world.now_s)
                self.assertEqual(len(world.entries), len(self.closed(world)))

            self.run_world(entries, work)

    def test_the_end_of_a_drain_reaches_all(self) -> None:
        def work(world: SpreadWorld) -> None:
            first = self.first(world)
            first.drains.on_store_reading(DrainedHalls(6, (DRAINED,)), world.now_s)
            world.run(HALL_DRAIN_S)
            first.drains.on_store_reading(DrainedHalls(7), world.now_s)
            world.run(PROPAGATION_S)
            self.assertEqual(([], []), (self.entries_aware(world), self.closed(world)))

        self.run_world(36, work)

    def test_an_entry_that_never_read_the_store_follows_the_heartbeats(self) -> None:
        def work(world: SpreadWorld) -> None:
            node, previous = list(world.entries.items())[-1]
            world.entries[node] = restarted = SpreadEntry(world, previous.me, (), 24)
            for other in list(world.entries.values())[:3]:
                world.introduce(previous.me.peer, other.me.peer.address)
            world.run(3.0)
            self.assertTrue(restarted.drains.known)
            self.drain(world)
            world.run(PROPAGATION_S)
            self.assertIn(node, self.entries_aware(world))
            self.assertNotIn(node, self.closed(world))
            world.run(HALL_DRAIN_S - PROPAGATION_S)
            self.assertIn(node, self.closed(world))

        self.run_world(5, work)

    def test_an_entry_that_was_cut_off_closes_the_hall_once_it_is_connected_again(self) -> None:
        def work(world: SpreadWorld) -> None:
            isolated = list(world.entries)[-1]
            world.cut = lambda sender, receiver: isolated in (sender, receiver)
            self.first(world).drains.on_store_reading(DrainedHalls(6, (DRAINED,)), world.now_s)
            world.run(HALL_DRAIN_S + 1.0)
            self.assertNotIn(isolated, self.entries_aware(world))
            world.cut = lambda sender, receiver: False
            world.run(3.0)
            self.assertIn(isolated, self.closed(world))

        self.run_world(5, work)

    def test_an_entry_that_starts_during_a_drain_knows_it_before_it_requests_a_version(
        self,
    ) -> None:
        def work(world: SpreadWorld) -> None:
            first = self.first(world)
            first.drains.on_store_reading(DrainedHalls(6, (DRAINED,)), world.now_s)
            world.run(HALL_DRAIN_S)
            node, former = list(world.entries.items())[-1]
            world.entries[node] = restarted = SpreadEntry(world, former.me, (), 24)
            restarted.serving.routes = None
            drains_known: list[bool] = []
            restarted.heartbeats._request_version = (  # type: ignore[method-assign]
                lambda ahead, now_s: drains_known.append(restarted.drains.known)
            )
            world.introduce(former.me.peer, first.me.peer.address)
            world.run(3.0)
            self.assertTrue(drains_known)
            self.assertEqual({True}, set(drains_known))
            self.assertIn(node, self.closed(world))

        self.run_world(5, work)

    def test_an_echo_of_a_former_incarnation_does_not_delay_the_closing_of_a_hall(self) -> None:
        for started_later_s, closed in ((0.0, False), (60.0, True)):
            work = partial(self._work_after_restart, started_later_s, closed)
            self.run_world(5, work)

    def _work_after_restart(self, started_later_s: float, closed: bool, world: SpreadWorld) -> None:
        node, former = list(world.entries.items())[-1]
        world.entries[node] = restarted = SpreadEntry(world, former.me, (), 24)
        restarted.heartbeats._started_s = world.now_s + started_later_s
        for other in list(world.entries.values())[:3]:
            world.introduce(former.me.peer, other.me.peer.address)
        world.run(3.0)
        self.drain(world)
        world.run(PROPAGATION_S)
        self.assertIn(node, self.entries_aware(world))
        self.assertEqual(closed, node in self.closed(world))
