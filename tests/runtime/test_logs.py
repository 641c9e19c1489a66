# SPDX-License-Identifier: Apache-2.0
import os
import threading

import testtools

from ochreway_runtime.linebudget import BURST_S, LINES_PER_S, LineBudget, LineKind
from ochreway_runtime.linewriter import LineWriter
from ochreway_runtime.logs import EventLog


class LineBudgetTests(testtools.TestCase):
    def test_each_kind_has_its_own_rate_and_a_saved_burst(self) -> None:
        budget = LineBudget(0.0, {kind: 10.0 for kind in LineKind})
        written = sum(budget.allows(LineKind.FAILURE, 0.0) for _ in range(100))
        self.assertEqual(10 * BURST_S, written)
        self.assertTrue(budget.allows(LineKind.STATE_CHANGE, 0.0))
        self.assertEqual({LineKind.FAILURE: 100 - written}, budget.take_withheld())
        self.assertEqual({}, budget.take_withheld())
        self.assertEqual(10, sum(budget.allows(LineKind.FAILURE, 1.0) for _ in range(100)))

    def test_state_changes_and_failures_may_write_more_than_successes(self) -> None:
        self.assertLess(LINES_PER_S[LineKind.SUCCESS], LINES_PER_S[LineKind.FAILURE])
        self.assertLess(LINES_PER_S[LineKind.FAILURE], LINES_PER_S[LineKind.STATE_CHANGE])


class LineWriterTests(testtools.TestCase):
    def test_a_reader_that_does_not_read_blocks_no_caller(self) -> None:
        reads, writes = os.pipe()
        with os.fdopen(writes, "w") as stream:
            self._fill(writes)
            writer = LineWriter(stream, max_queued_lines=50)
            written = sum(writer.write("x" * 1000) for _ in range(1000))
            self.assertLessEqual(written, 2 * 50)
            self.assertEqual(1000 - written, writer.take_dropped())
            self.assertFalse(writer.flush(0.05))
            drained = threading.Thread(target=self._drain, args=(reads,), daemon=True)
            drained.start()
            self.assertTrue(writer.flush(10.0))

    def _fill(self, writes: int) -> None:
        os.set_blocking(writes, False)
        try:
            while os.write(writes, b"x" * 1000):
                pass
        except BlockingIOError:
            os.set_blocking(writes, True)

    def _drain(self, reads: int) -> None:
        with os.fdopen(reads, "rb") as stream:
            while stream.read(4096):
                pass

    def test_lines_are_written_complete_and_in_order(self) -> None:
        reads, writes = os.pipe()
        with os.fdopen(writes, "w") as stream:
            writer = LineWriter(stream)
            for number in range(500):
                writer.write(f"line {number}")
            self.assertTrue(writer.flush(10.0))
        with os.fdopen(reads) as lines:
            self.assertEqual([f"line {n}\n" for n in range(500)], list(lines))


class EventLogTests(testtools.TestCase):
    def logged_lines(self, level: str, per_s: float) -> list[str]:
        reads, writes = os.pipe()
        with os.fdopen(writes, "w") as stream:
            budget = LineBudget(0.0, dict.fromkeys(LineKind, per_s))
            log = EventLog("entry", "e", level, LineWriter(stream), budget)
            for number in range(10):
                log.failure("refused", request=f"r{number}", cause="it's so")
            log.detail("plan", wanted=1)
            log.flush()
        with os.fdopen(reads) as lines:
            return list(lines)

    def test_a_line_has_its_time_level_event_process_and_fields(self) -> None:
        line = self.logged_lines("info", 100.0)[0]
        self.assertRegex(line, r"^time=\S+Z level=INFO event=refused role=entry node=e request=r0")
        self.assertIn('cause="it\'s so"', line)

    def test_a_budget_bounds_the_lines_except_at_level_debug(self) -> None:
        self.assertEqual(2, len(self.logged_lines("info", 1.0)))
        self.assertEqual(11, len(self.logged_lines("debug", 1.0)))

    def test_a_loss_is_written_whatever_the_budget_and_however_many_lines_wait(self) -> None:
        reads, writes = os.pipe()
        with os.fdopen(writes, "w") as stream:
            budget = LineBudget(0.0, dict.fromkeys(LineKind, 0.0))
            log = EventLog("entry", "e", "info", LineWriter(stream, max_queued_lines=0), budget)
            for number in range(10):
                log.loss("broken", request=f"r{number}")
                log.failure("refused", request=f"r{number}")
            log.close()
        with os.fdopen(reads) as lines:
            written = list(lines)
        self.assertEqual(10, sum("event=broken" in line for line in written))
        self.assertEqual(0, sum("event=refused" in line for line in written))

    def test_a_long_value_is_cut(self) -> None:
        # Guards against lines of many kB, as callers choose the ids of their requests.
        reads, writes = os.pipe()
        with os.fdopen(writes, "w") as stream:
            log = EventLog("entry", "e", "info", LineWriter(stream))
            log.loss("broken", request="r" * 16_000)
            log.close()
        with os.fdopen(reads) as lines:
            (line,) = lines
        self.assertLess(len(line), 1200)
        self.assertIn("rrr...", line)
