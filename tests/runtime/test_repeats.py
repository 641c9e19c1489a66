# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_runtime.repeats import CAUSES_AT_MOST, TOLD_AGAIN_S, Repeats
from tests.runtime.recordedlog import RecordedLog


class RepeatsTests(testtools.TestCase):
    def test_a_lasting_fault_is_told_at_once_then_now_and_then_and_when_it_is_over(self) -> None:
        log = RecordedLog()
        repeats = Repeats(log, "away")
        for step in range(25):
            repeats.met("no answer", step * TOLD_AGAIN_S / 20)
        repeats.over(13.0)
        repeats.over(14.0)
        cause = {"cause": "no answer"}
        told = [("away", {**cause, "times": 1}), ("away", {**cause, "times": 21})]
        self.assertEqual([*told, ("away_over", {"lasted_s": 13.0, "times": 25})], log.events)

    def test_causes_that_alternate_are_told_once_each(self) -> None:
        log = RecordedLog()
        repeats = Repeats(log, "away")
        for step in range(100):
            repeats.met(f"cause {step % 2}", step / 100)
        self.assertEqual(["away", "away"], log.names)

    def test_ever_new_causes_are_told_by_time(self) -> None:
        log = RecordedLog()
        repeats = Repeats(log, "away")
        for step in range(1000):
            repeats.met(f"cause {step}", step * TOLD_AGAIN_S / 1000)
        self.assertEqual(CAUSES_AT_MOST, len(log.names))

    def test_another_cause_is_told_at_once(self) -> None:
        log = RecordedLog()
        repeats = Repeats(log, "away")
        repeats.met("no answer", 1.0)
        repeats.met("status 503", 1.1)
        self.assertEqual(["away", "away"], log.names)
