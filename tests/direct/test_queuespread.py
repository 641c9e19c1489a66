# SPDX-License-Identifier: Apache-2.0
"""Heartbeats that carry what the queues of an entry report."""

from collections import Counter

import testtools

from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuereport import QueueReport
from ochreway_direct.queueing.waitingcalls import count_waiting
from ochreway_standins.spreadworld import SpreadEntry, SpreadWorld, virtually

MODEL = ModelName("m")
URGENT = (True, 0, 0)
SETTLE_S = 6.0


def facts(entry: SpreadEntry) -> PlaceFacts:
    return entry.fleet.place_facts(ServiceName("s"), MODEL, 4, None, 0.0)


class QueueSpreadTests(testtools.TestCase):
    def check_all_hear(self, count: int) -> None:
        """Check that each entry hears of all others' calls once, and of no own ones."""

        def report() -> QueueReport:
            return QueueReport(count_waiting([(MODEL, {URGENT: 2})]), Counter(o=3))

        def run(loop: object) -> None:
            world = SpreadWorld(loop, count, 1)  # type: ignore[arg-type]
            for entry in world.entries.values():
                entry.serving.queue_report = report
            world.run(SETTLE_S)
            others = count - 1
            for entry in world.entries.values():
                seen = facts(entry)
                self.assertEqual({URGENT: 2 * others}, dict(seen.waiting))
                self.assertEqual(others, seen.waiting_entries)
                self.assertEqual({"o": 3 * others}, dict(seen.served_by))

        virtually(run)

    def test_entries_of_a_mesh_hear_of_all_waiting_calls(self) -> None:
        """Guards against calls that are counted twice or not at all."""
        self.check_all_hear(15)

    def test_heads_add_up_waiting_calls(self) -> None:
        """Guards against the same above 24 entries, where heads report sums."""
        self.check_all_hear(36)
