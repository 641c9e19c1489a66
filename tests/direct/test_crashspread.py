# SPDX-License-Identifier: Apache-2.0
"""A fatal request becomes known to every entry, among few and among many."""

from collections.abc import Callable

import testtools

from ochreway_core.ids import Fingerprint, InstanceId, NodeId
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_standins.spreadworld import SpreadWorld, VirtualLoop, virtually

HALLS = 5
SETTLED_S = 12.0
TOLD_S = 0.3
"""Within what time everyone knows: three hops of a step each, and what is sent in between."""
HEADS_LOST_S = 6.0
"""Within what time after a cell's heads died: others take their place, and are told again."""
FATAL = Fingerprint("fatal")
TARGETS = [InstanceId(f"i-{n}") for n in range(FATAL_CRASHES)]


class CrashSpreadTests(testtools.TestCase):
    def spread(self, entries: int, work: Callable[[SpreadWorld], None]) -> None:
        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, entries, HALLS)
            world.run(SETTLED_S)
            work(world)

        virtually(run)

    def unaware(self, world: SpreadWorld) -> list[NodeId]:
        return [n for n, entry in world.entries.items() if not entry.crashes.fatal()]

    def member(self, world: SpreadWorld) -> NodeId:
        """Return an entry that speaks for nobody, or any where all tell all."""
        members = [n for n, entry in world.entries.items() if not entry.heartbeats.head]
        return members[0] if members else next(iter(world.entries))

    def test_everyone_knows_within_a_heartbeat(self) -> None:
        for entries in (2, 5, 24, 36, 90, 300):

            def work(world: SpreadWorld) -> None:
                world.entries[self.member(world)].crashed(FATAL, TARGETS)
                world.run(TOLD_S)
                self.assertEqual([], self.unaware(world), len(world.entries))

            self.spread(entries, work)

    def test_a_good_end_becomes_known_too(self) -> None:
        for entries in (5, 90):

            def work(world: SpreadWorld) -> None:
                first = world.entries[self.member(world)]
                first.crashed(FATAL, TARGETS)
                world.run(1.0)
                first.crashes.record_completion(FATAL, world.now_s + 1.0)
                news = first.crashes.sightings([FATAL], world.now_s + 1.0)
                for entry in world.entries.values():
                    for sighting in news:
                        entry.crashes.merge_sighting(sighting, world.now_s + 1.0)
                world.run(3.0)
                self.assertEqual(len(world.entries), len(self.unaware(world)))

            self.spread(entries, work)

    def test_a_cell_whose_heads_died_as_it_was_told_hears_of_it(self) -> None:
        def work(world: SpreadWorld) -> None:
            teller = world.entries[self.member(world)]
            own = {peer.node for peer in teller.heartbeats.contacts()}
            for node in own:
                world.lose(node)
            teller.crashed(FATAL, TARGETS)
            world.run(HEADS_LOST_S)
            self.assertEqual([], self.unaware(world))

        self.spread(90, work)

    def test_what_is_known_already_is_passed_on_no_further(self) -> None:
        def work(world: SpreadWorld) -> None:
            world.entries[self.member(world)].crashed(FATAL, TARGETS)
            world.run(1.0)
            quiet = sum(world.sent.values())
            world.run(3.0)
            each_s = (sum(world.sent.values()) - quiet) / 3.0 / len(world.entries)
            # Heartbeats and as many repeats, no more: 29 a second on average among 300 entries.
            self.assertLess(each_s, 2 * 40.0)

        self.spread(90, work)
