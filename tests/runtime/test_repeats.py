# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_runtime.logs import EventLog
from ochreway_runtime.repeats import TOLD_AGAIN_S, Repeats


class Recorded(EventLog):
    """Keep what would be written."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def event(self, name: str, **fields: object) -> None:
        self.lines.append(f"{name} {fields}")

    fault = event


class RepeatsTests(testtools.TestCase):
    def test_a_lasting_fault_is_told_at_once_then_now_and_then_and_when_it_is_over(self) -> None:
        log = Recorded()
        repeats = Repeats(log, "away")
        for step in range(25):
            repeats.met("no answer", step / 2)
        repeats.over(13.0)
        repeats.over(14.0)
        told = [
            "away {'cause': 'no answer', 'times': 1}",
            "away {'cause': 'no answer', 'times': 21}",
        ]
        self.assertEqual([*told, "away_over {'lasted_s': 13.0, 'times': 25}"], log.lines)
        self.assertEqual(10.0, TOLD_AGAIN_S)

    def test_another_cause_is_told_at_once(self) -> None:
        log = Recorded()
        repeats = Repeats(log, "away")
        repeats.met("no answer", 1.0)
        repeats.met("status 503", 1.1)
        self.assertEqual(2, len(log.lines))
