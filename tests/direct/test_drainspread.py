# SPDX-License-Identifier: Apache-2.0
"""A word on drained halls reaches every entry, and none sends there later than the bound allows."""

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

SETTLED_S = 12.0
HEARD_S = 1.5
"""Within what time a word passes from one entry over heads to all, also those of other cells."""
DRAINED = HallId("hall-9")


class DrainSpreadTests(testtools.TestCase):
    def spread(self, entries: int, work: Callable[[SpreadWorld], None]) -> None:
        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, entries, 5)
            world.run(SETTLED_S)
            for entry in world.entries.values():
                entry.drains.read(DrainedHalls(5), world.now_s)
            work(world)

        virtually(run)

    def first(self, world: SpreadWorld) -> SpreadEntry:
        return next(iter(world.entries.values()))

    def drain(self, world: SpreadWorld) -> None:
        """Have one entry read the store before and after a hall is drained."""
        keeper = self.first(world).drains
        keeper.read(DrainedHalls(5), world.now_s)
        keeper.read(DrainedHalls(6, (DRAINED,)), world.now_s)

    def knowing(self, world: SpreadWorld) -> list[NodeId]:
        return [n for n, e in world.entries.items() if e.drains.gauges()["halls_draining"]]

    def closed(self, world: SpreadWorld) -> list[NodeId]:
        return [n for n, e in world.entries.items() if e.drains.gauges()["halls_closed"]]

    def test_all_hear_of_a_drain_that_one_has_read_and_close_in_time(self) -> None:
        for entries in (5, 36, 90):

            def work(world: SpreadWorld) -> None:
                read_s = world.now_s
                self.first(world).drains.read(DrainedHalls(6, (DRAINED,)), world.now_s)
                world.run(HEARD_S)
                self.assertEqual(len(world.entries), len(self.knowing(world)))
                self.assertEqual([], self.closed(world))
                world.run(read_s + HALL_DRAIN_S - world.now_s)
                self.assertEqual(len(world.entries), len(self.closed(world)))

            self.spread(entries, work)

    def test_all_hear_that_a_hall_was_taken_back(self) -> None:
        def work(world: SpreadWorld) -> None:
            first = self.first(world)
            first.drains.read(DrainedHalls(6, (DRAINED,)), world.now_s)
            world.run(HALL_DRAIN_S)
            first.drains.read(DrainedHalls(7), world.now_s)
            world.run(HEARD_S)
            self.assertEqual(([], []), (self.knowing(world), self.closed(world)))

        self.spread(36, work)

    def test_an_entry_that_never_read_the_store_goes_by_what_it_hears(self) -> None:
        def work(world: SpreadWorld) -> None:
            node, dark = list(world.entries.items())[-1]
            world.entries[node] = again = SpreadEntry(world, dark.me, (), 24)
            for other in list(world.entries.values())[:3]:
                world.introduce(dark.me.peer, other.me.peer.address)
            world.run(3.0)
            self.assertTrue(again.drains.known)
            self.drain(world)
            world.run(HEARD_S)
            self.assertIn(node, self.knowing(world))
            self.assertNotIn(node, self.closed(world))
            world.run(HALL_DRAIN_S - HEARD_S)
            self.assertIn(node, self.closed(world))

        self.spread(5, work)

    def test_an_entry_that_was_cut_off_closes_the_hall_as_soon_as_it_hears(self) -> None:
        def work(world: SpreadWorld) -> None:
            lone = list(world.entries)[-1]
            world.cut = lambda sender, receiver: lone in (sender, receiver)
            self.first(world).drains.read(DrainedHalls(6, (DRAINED,)), world.now_s)
            world.run(HALL_DRAIN_S + 1.0)
            self.assertNotIn(lone, self.knowing(world))
            world.cut = lambda sender, receiver: False
            world.run(3.0)
            self.assertIn(lone, self.closed(world))

        self.spread(5, work)

    def test_an_entry_that_starts_in_the_midst_knows_before_it_hears_of_a_version(self) -> None:
        def work(world: SpreadWorld) -> None:
            first = self.first(world)
            first.drains.read(DrainedHalls(6, (DRAINED,)), world.now_s)
            world.run(HALL_DRAIN_S)
            node, former = list(world.entries.items())[-1]
            world.entries[node] = again = SpreadEntry(world, former.me, (), 24)
            again.serving.routes = None
            asked: list[bool] = []
            again.heartbeats._fall_behind = (  # type: ignore[method-assign]
                lambda ahead, now_s: asked.append(again.drains.known)
            )
            world.introduce(former.me.peer, first.me.peer.address)
            world.run(3.0)
            self.assertTrue(asked)
            self.assertEqual({True}, set(asked))
            self.assertIn(node, self.closed(world))

        self.spread(5, work)

    def test_an_echo_of_a_former_life_gives_a_hall_no_time(self) -> None:
        for began_later_s, closed in ((0.0, False), (60.0, True)):
            work = partial(self._work_after_restart, began_later_s, closed)
            self.spread(5, work)

    def _work_after_restart(self, began_later_s: float, closed: bool, world: SpreadWorld) -> None:
        node, former = list(world.entries.items())[-1]
        world.entries[node] = again = SpreadEntry(world, former.me, (), 24)
        again.heartbeats._began_s = world.now_s + began_later_s
        for other in list(world.entries.values())[:3]:
            world.introduce(former.me.peer, other.me.peer.address)
        world.run(3.0)
        self.drain(world)
        world.run(HEARD_S)
        self.assertIn(node, self.knowing(world))
        self.assertEqual(closed, node in self.closed(world))
