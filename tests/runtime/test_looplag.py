# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_runtime.looplag import REMEMBERED_S, LoopLag
from tests.runtime.recordedlog import RecordedLog


class LoopLagTests(testtools.TestCase):
    def test_ticks_in_time_are_no_stall(self) -> None:
        lag = LoopLag(0.05, RecordedLog())
        for step in range(100):
            lag.tick(step * 0.055)
        self.assertEqual(0.0, lag.since(0.0, 5.46))

    def test_a_stall_counts_for_what_was_asked_before_its_end(self) -> None:
        log = RecordedLog()
        lag = LoopLag(0.05, log)
        for now_s in (1.0, 1.05, 1.6, 1.65):
            lag.tick(now_s)
        self.assertAlmostEqual(0.5, lag.since(1.1, 1.66))
        self.assertEqual(0.0, lag.since(1.61, 1.66))
        self.assertEqual(["loop_stalled"], log.names)

    def test_a_stall_that_no_tick_has_ended_yet_counts(self) -> None:
        lag = LoopLag(0.05, RecordedLog())
        lag.tick(1.0)
        self.assertAlmostEqual(0.35, lag.since(1.0, 1.4))

    def test_an_old_stall_is_forgotten(self) -> None:
        lag = LoopLag(0.05, RecordedLog())
        for now_s in (1.0, 2.0, 2.1 + REMEMBERED_S):
            lag.tick(now_s)
        self.assertLess(lag.since(1.5, 2.1 + REMEMBERED_S), REMEMBERED_S + 0.1)
