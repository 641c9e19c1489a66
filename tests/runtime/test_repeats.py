# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_runtime.repeats import MAX_CAUSES, REPEAT_INTERVAL_S, RepeatedFault
from tests.runtime.recordedlog import RecordedLog


class RepeatsTests(testtools.TestCase):
    def test_a_lasting_fault_is_logged_at_once_then_at_intervals_and_at_its_end(self) -> None:
        log = RecordedLog()
        repeats = RepeatedFault(log, "away")
        for step in range(25):
            repeats.log_occurrence("no answer", step * REPEAT_INTERVAL_S / 20)
        repeats.log_end(13.0)
        repeats.log_end(14.0)
        cause = {"cause": "no answer"}
        expected = [("away", {**cause, "times": 1}), ("away", {**cause, "times": 21})]
        self.assertEqual([*expected, ("away_over", {"lasted_s": 13.0, "times": 25})], log.events)

    def test_alternating_causes_are_logged_once_each(self) -> None:
        log = RecordedLog()
        repeats = RepeatedFault(log, "away")
        for step in range(100):
            repeats.log_occurrence(f"cause {step % 2}", step / 100)
        self.assertEqual(["away", "away"], log.names)

    def test_ever_new_causes_are_logged_at_intervals(self) -> None:
        log = RecordedLog()
        repeats = RepeatedFault(log, "away")
        for step in range(1000):
            repeats.log_occurrence(f"cause {step}", step * REPEAT_INTERVAL_S / 1000)
        self.assertEqual(MAX_CAUSES, len(log.names))

    def test_another_cause_is_logged_at_once(self) -> None:
        log = RecordedLog()
        repeats = RepeatedFault(log, "away")
        repeats.log_occurrence("no answer", 1.0)
        repeats.log_occurrence("status 503", 1.1)
        self.assertEqual(["away", "away"], log.names)
