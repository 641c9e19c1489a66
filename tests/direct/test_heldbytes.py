# SPDX-License-Identifier: Apache-2.0
"""Whose answers are ended when callers read slowly, decided from facts and times alone."""

import random

import testtools

from ochreway_core.ids import OrganisationId
from ochreway_direct.buffering.heldbytes import HeldBytes
from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.buffering.unreadanswers import UnreadAnswers
from ochreway_runtime.logs import EventLog
from ochreway_runtime.looplag import LoopLag

ANN, BO = OrganisationId("ann"), OrganisationId("bo")
LIMITS = HeldLimits(total_bytes=1_000)


class UnreadTests(testtools.TestCase):
    def test_the_age_is_that_of_the_oldest_byte_that_is_still_unread(self) -> None:
        unread = UnreadAnswers(ANN, "r")
        unread.update(100, 100, 1.0)
        unread.update(100, 200, 2.0)
        self.assertEqual((1.0, 1.0), (unread.oldest_s, unread.moved_s))
        unread.update(0, 100, 3.0)
        self.assertEqual((2.0, 3.0), (unread.oldest_s, unread.moved_s))

    def test_a_caller_that_had_read_all_is_not_as_old_as_its_last_answer(self) -> None:
        unread = UnreadAnswers(ANN, "r")
        unread.update(100, 100, 1.0)
        unread.update(0, 0, 2.0)
        unread.update(50, 50, 9.0)
        self.assertEqual((9.0, 9.0), (unread.oldest_s, unread.moved_s))

    def test_many_small_events_take_few_marks(self) -> None:
        unread = UnreadAnswers(ANN, "r")
        for number in range(1, 10_001):
            unread.update(60, 60 * number, number / 10_000)
        self.assertLessEqual(len(unread._marks), 11)
        self.assertAlmostEqual(0.0, unread.oldest_s, 2)

    def test_the_age_is_never_above_the_true_one_by_more_than_the_resolution(self) -> None:
        draw = random.Random(5)
        for _ in range(50):
            unread, queue, now_s = UnreadAnswers(ANN, "r"), [], 0.0
            for _ in range(100):
                now_s += draw.uniform(0.0, 0.2)
                taken = draw.randint(0, len(queue))
                del queue[:taken]
                added = draw.randint(0, 30)
                queue += [now_s] * added
                unread.update(added, len(queue), now_s)
                if queue:
                    self.assertLessEqual(unread.oldest_s, queue[0] + 1e-9)
                    self.assertGreaterEqual(unread.oldest_s, queue[0] - 0.1 - 1e-9)


class HeldBytesTests(testtools.TestCase):
    def held(
        self, *readers: tuple[OrganisationId, int, float]
    ) -> tuple[HeldBytes, list[UnreadAnswers]]:
        """Return the sum with readers, each with its bytes and the time since they are held."""
        held = HeldBytes(LIMITS)
        unread = [
            UnreadAnswers(organisation, f"r{n}") for n, (organisation, _, _) in enumerate(readers)
        ]
        for each, (_, size_bytes, since_s) in zip(unread, readers, strict=True):
            held.update(each, size_bytes, size_bytes, since_s)
        return held, unread

    def test_nobody_is_ended_while_the_sum_is_under_its_limit(self) -> None:
        held, readers = self.held((ANN, 1_000, 0.0))
        self.assertEqual([], held.to_end(readers, 2.0))

    def test_the_oldest_unread_answers_are_ended_first(self) -> None:
        held, readers = self.held((ANN, 500, 4.0), (BO, 300, 0.0), (ANN, 300, 2.0))
        self.assertEqual([readers[1]], held.to_end(readers, 5.0))

    def test_among_equally_slow_readers_the_organisation_that_holds_most_is_ended_first(
        self,
    ) -> None:
        held, readers = self.held((BO, 400, 0.0), (ANN, 350, 0.1), (ANN, 300, 0.2))
        self.assertEqual([readers[1]], held.to_end(readers, 5.0))

    def test_a_caller_that_reads_is_not_ended_for_younger_readers_of_its_organisation(
        self,
    ) -> None:
        """Many callers begin at once and most stop: all are young, but not equally."""
        held, readers = self.held((ANN, 500, 4.96), (BO, 300, 4.8), (ANN, 300, 4.82))
        self.assertEqual([readers[2]], held.to_end(readers, 5.0))

    def test_among_those_of_one_organisation_the_one_with_most_bytes_is_ended_first(self) -> None:
        held, readers = self.held((ANN, 300, 0.1), (ANN, 800, 0.2))
        self.assertEqual([readers[1]], held.to_end(readers, 5.0))

    def test_a_request_body_ends_only_readers_that_are_clearly_behind(self) -> None:
        held, readers = self.held((ANN, 500, 0.0), (BO, 400, 9.8))
        self.assertEqual([readers[0]], held.to_end_for(300, readers, 0.5, 10.0))
        self.assertEqual([], held.to_end_for(100, readers, 0.5, 10.0))

    def test_nobody_is_ended_for_a_body_that_does_not_fit_all_the_same(self) -> None:
        held, readers = self.held((ANN, 100, 0.0), (BO, 800, 9.8))
        self.assertIsNone(held.to_end_for(300, readers, 0.5, 10.0))

    def test_an_answer_under_way_ends_the_slowest_reader_however_young(self) -> None:
        held, readers = self.held((ANN, 500, 9.7), (BO, 400, 9.9))
        self.assertEqual([readers[0]], held.to_end_for(300, readers, 0.0, 10.0))

    def test_bodies_leave_room_for_answers_under_way(self) -> None:
        held, _ = self.held()
        self.assertTrue(held.admits(750))
        self.assertFalse(held.admits(751))

    def test_a_caller_that_reads_a_little_has_not_stopped(self) -> None:
        held, readers = self.held((ANN, 500, 0.0), (BO, 500, 0.0))
        held.update(readers[0], 0, 499, 2.0)
        self.assertEqual([readers[1]], held.stopped(readers, 3.0))

    def test_a_stall_of_the_entry_does_not_count_as_the_callers_silence(self) -> None:
        lag = LoopLag(0.05, EventLog("entry", "e", "critical"))
        held = HeldBytes(LIMITS, lag.stalled_since)
        reader = UnreadAnswers(ANN, "r")
        lag.tick(0.0)
        held.update(reader, 10, 10, 0.0)
        lag.tick(4.0)
        self.assertEqual([], held.stopped([reader], 4.0))
        now_s = 4.0
        while not held.stopped([reader], now_s):
            now_s += 0.05
            lag.tick(now_s)
        self.assertAlmostEqual(4.0 + LIMITS.slow_reader_s, now_s, delta=0.15)

    def test_without_the_stall_the_same_silence_ends_the_caller(self) -> None:
        held, readers = self.held((ANN, 10, 0.0))
        self.assertEqual(readers, held.stopped(readers, 4.0))

    def test_the_sum_stays_exact_over_any_order_of_updates(self) -> None:
        draw = random.Random(7)
        held, readers = self.held(*[(ANN, 0, 0.0)] * 5)
        for step in range(500):
            held.update(draw.choice(readers), draw.randint(0, 50), draw.randint(0, 90), step / 10)
            self.assertEqual(sum(each.held_bytes for each in readers), held.unread_bytes)
