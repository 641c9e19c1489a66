# SPDX-License-Identifier: Apache-2.0
"""A fatal request becomes known to all entries, in small and large fleets."""

from collections.abc import Callable

import testtools

from ochreway_core.ids import CauseId, InstanceId, NodeId
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_standins.spreadworld import SpreadWorld, VirtualLoop, virtually

HALLS = 5
SETTLE_S = 12.0
PROPAGATION_S = 0.3
"""Time until all entries know: three hops of a step each, and what is sent in between."""
HEADS_RECOVERY_S = 6.0
"""Time after the loss of a cell's heads: others replace them and get the next announcement."""
FATAL = CauseId("fatal")
TARGETS = [InstanceId(f"i-{n}") for n in range(FATAL_CRASHES)]


class CrashSpreadTests(testtools.TestCase):
    def run_world(self, entries: int, work: Callable[[SpreadWorld], None]) -> None:
        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, entries, HALLS)
            world.run(SETTLE_S)
            work(world)

        virtually(run)

    def unaware(self, world: SpreadWorld) -> list[NodeId]:
        return [n for n, entry in world.entries.items() if not entry.crashes.fatal()]

    def member(self, world: SpreadWorld) -> NodeId:
        """Return an entry that is not a head, or any entry where there are no heads."""
        members = [n for n, entry in world.entries.items() if not entry.heartbeats.head]
        return members[0] if members else next(iter(world.entries))

    def test_everyone_knows_within_a_heartbeat(self) -> None:
        for entries in (2, 5, 24, 36, 90, 300):

            def work(world: SpreadWorld) -> None:
                world.entries[self.member(world)].crashed(FATAL, TARGETS)
                world.run(PROPAGATION_S)
                self.assertEqual([], self.unaware(world), len(world.entries))

            self.run_world(entries, work)

    def test_a_completed_run_becomes_known_too(self) -> None:
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

            self.run_world(entries, work)

    def test_a_cell_whose_heads_were_lost_during_the_announcement_learns_of_it(self) -> None:
        def work(world: SpreadWorld) -> None:
            publisher = world.entries[self.member(world)]
            contacts_of_publisher = {peer.node for peer in publisher.heartbeats.contacts()}
            for node in contacts_of_publisher:
                world.lose(node)
            publisher.crashed(FATAL, TARGETS)
            world.run(HEADS_RECOVERY_S)
            self.assertEqual([], self.unaware(world))

        self.run_world(90, work)

    def test_known_crashes_are_not_forwarded_again(self) -> None:
        def work(world: SpreadWorld) -> None:
            world.entries[self.member(world)].crashed(FATAL, TARGETS)
            world.run(1.0)
            sent_before = sum(world.sent.values())
            world.run(3.0)
            messages_per_s = (sum(world.sent.values()) - sent_before) / 3.0 / len(world.entries)
            # Only heartbeats and as many repeats: 29 per second on average among 300 entries.
            self.assertLess(messages_per_s, 2 * 40.0)

        self.run_world(90, work)
