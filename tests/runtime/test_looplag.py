# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_runtime.looplag import STALL_RETENTION_S, LoopLag
from tests.runtime.recordedlog import RecordedLog


class LoopLagTests(testtools.TestCase):
    def test_ticks_in_time_are_no_stall(self) -> None:
        lag = LoopLag(0.05, RecordedLog())
        for step in range(100):
            lag.tick(step * 0.055)
        self.assertEqual(0.0, lag.stalled_since(0.0, 5.46))

    def test_a_stall_counts_since_any_time_before_its_end(self) -> None:
        log = RecordedLog()
        lag = LoopLag(0.05, log)
        for now_s in (1.0, 1.05, 1.6, 1.65):
            lag.tick(now_s)
        self.assertAlmostEqual(0.5, lag.stalled_since(1.1, 1.66))
        self.assertEqual(0.0, lag.stalled_since(1.61, 1.66))
        self.assertEqual(["loop_stalled"], log.names)

    def test_a_stall_still_in_progress_counts(self) -> None:
        lag = LoopLag(0.05, RecordedLog())
        lag.tick(1.0)
        self.assertAlmostEqual(0.35, lag.stalled_since(1.0, 1.4))

    def test_an_old_stall_is_forgotten(self) -> None:
        lag = LoopLag(0.05, RecordedLog())
        for now_s in (1.0, 2.0, 2.1 + STALL_RETENTION_S):
            lag.tick(now_s)
        self.assertLess(lag.stalled_since(1.5, 2.1 + STALL_RETENTION_S), STALL_RETENTION_S + 0.1)
