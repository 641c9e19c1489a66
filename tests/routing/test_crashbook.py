# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.ids import CauseId, InstanceId
from ochreway_routing.crashbook import (
    CLEARED_RETENTION_S,
    RETENTION_S,
    SUSPECTED_WAIT_S,
    TRIAL_TIMEOUT_S,
    CrashBook,
)
from ochreway_routing.crashholds import HOLD_S
from ochreway_routing.crashrecord import FATAL_CRASHES, SAME_CRASH_WINDOW_S

ONE, OTHER = CauseId("one"), CauseId("other")
TARGETS = [InstanceId(f"i-{n}") for n in range(5)]
LATER_S = SAME_CRASH_WINDOW_S + 0.1


def fatal_book(last_s: float = 10.0) -> CrashBook:
    book = CrashBook()
    for number, target in enumerate(TARGETS[:FATAL_CRASHES]):
        book.record_crash(ONE, target, last_s - FATAL_CRASHES + 1 + number)
    return book


class CrashBookTests(testtools.TestCase):
    def test_a_request_is_fatal_from_its_third_crash_on(self) -> None:
        book = CrashBook()
        for number, target in enumerate(TARGETS[:FATAL_CRASHES]):
            self.assertEqual(
                (number, 0.0), (book.crash_count(ONE), book.check_request([ONE], 10.0).fatal_for_s)
            )
            self.assertTrue(book.record_crash(ONE, target, 8.0 + number))
        self.assertEqual(HOLD_S[0], book.check_request([ONE], 10.0).fatal_for_s)
        self.assertEqual(0.0, book.check_request([OTHER], 10.0).fatal_for_s)

    def test_crashes_of_one_request_at_the_same_moment_all_count(self) -> None:
        book = CrashBook()
        for target in TARGETS[:FATAL_CRASHES]:
            self.assertTrue(book.record_crash(ONE, target, 10.0))
        self.assertEqual(HOLD_S[0], book.check_request([ONE], 10.0).fatal_for_s)

    def test_one_crash_counts_once_however_often_reported(self) -> None:
        book = CrashBook()
        self.assertTrue(book.record_crash(ONE, TARGETS[0], 10.0))
        self.assertFalse(book.record_crash(ONE, TARGETS[0], 10.4))
        self.assertEqual(1, book.crash_count(ONE))

    def test_second_crash_of_a_restarted_target_counts_again(self) -> None:
        book = CrashBook()
        for number in range(FATAL_CRASHES):
            book.record_crash(ONE, TARGETS[0], 10.0 + number * LATER_S)
        self.assertGreater(book.check_request([ONE], 20.0).fatal_for_s, 0.0)

    def test_completion_clears_earlier_crashes(self) -> None:
        book = CrashBook()
        self.assertFalse(book.record_completion(ONE, 9.0))
        for target in TARGETS[:2]:
            book.record_crash(ONE, target, 10.0)
        self.assertTrue(book.record_completion(ONE, 11.0))
        book.record_crash(ONE, TARGETS[2], 12.0)
        self.assertEqual(
            (1, 0.0), (book.crash_count(ONE), book.check_request([ONE], 12.0).fatal_for_s)
        )

    def test_older_sightings_do_not_undo_a_completion(self) -> None:
        book, other_book = CrashBook(), fatal_book()
        for sighting in other_book.sightings([ONE], 10.0):
            book.merge_sighting(sighting, 10.0)
        book.record_completion(ONE, 11.0)
        for sighting in other_book.sightings([ONE], 12.0):
            self.assertFalse(book.merge_sighting(sighting, 12.0))
        self.assertEqual(0, book.crash_count(ONE))

    def test_completion_at_another_entry_clears_crashes_here(self) -> None:
        book, other_book = fatal_book(), fatal_book()
        other_book.record_completion(ONE, 20.0)
        for sighting in other_book.sightings([ONE], 21.0):
            self.assertTrue(book.merge_sighting(sighting, 21.0))
        self.assertEqual(0.0, book.check_request([ONE], 21.0).fatal_for_s)

    def test_refusal_lasts_for_its_time_while_the_request_is_repeated(self) -> None:
        book = fatal_book(10.0)
        for left_s in (50.0, 10.0, 0.5):
            at_s = 10.0 + HOLD_S[0] - left_s
            self.assertEqual(left_s, book.check_request([ONE], at_s).fatal_for_s)

    def test_fatal_request_gets_one_trial_after_its_time(self) -> None:
        book = fatal_book(10.0)
        later_s = 10.0 + HOLD_S[0]
        self.assertEqual((0.0, True), self.verdict(book, later_s))
        self.assertEqual((SUSPECTED_WAIT_S, False), self.verdict(book, later_s))
        book.record_completion(ONE, later_s)
        self.assertEqual((0.0, False), self.verdict(book, later_s))

    def test_a_trial_without_an_outcome_is_followed_by_another(self) -> None:
        book = fatal_book(10.0)
        later_s = 10.0 + HOLD_S[0]
        self.verdict(book, later_s)
        self.assertEqual((SUSPECTED_WAIT_S, False), self.verdict(book, later_s + 2.9))
        self.assertEqual((0.0, True), self.verdict(book, later_s + TRIAL_TIMEOUT_S))

    def test_each_failed_trial_makes_the_refusal_longer(self) -> None:
        book, at_s = fatal_book(10.0), 10.0
        for hold_s in (*HOLD_S, HOLD_S[-1], HOLD_S[-1], HOLD_S[-1], HOLD_S[-1]):
            self.assertEqual((hold_s, False), self.verdict(book, at_s))
            at_s += hold_s
            self.assertEqual((0.0, True), self.verdict(book, at_s))
            book.record_crash(ONE, TARGETS[3], at_s)

    def test_a_trial_at_another_entry_is_waited_for(self) -> None:
        book, other_book = fatal_book(10.0), fatal_book(10.0)
        later_s = 10.0 + HOLD_S[0]
        self.assertEqual((0.0, True), self.verdict(other_book, later_s))
        for sighting in other_book.sightings([ONE], later_s):
            self.assertTrue(book.merge_sighting(sighting, later_s))
        self.assertEqual((SUSPECTED_WAIT_S, False), self.verdict(book, later_s + 0.1))

    def test_entries_begin_trials_at_different_times(self) -> None:
        due_s = set()
        for owner in ("a", "b", "c"):
            book = CrashBook(owner=owner)
            for sighting in fatal_book(10.0).sightings([ONE], 10.0):
                book.merge_sighting(sighting, 10.0)
            due_s.add(book.check_request([ONE], 10.0).fatal_for_s)
        self.assertEqual(3, len(due_s))
        self.assertLess(max(due_s) - HOLD_S[0], 1.0)

    def verdict(self, book: CrashBook, at_s: float) -> tuple[float, bool]:
        result = book.check_request([ONE], at_s)
        return result.fatal_for_s, result.on_trial

    def test_one_more_crash_after_its_time_makes_it_fatal_again(self) -> None:
        book = fatal_book(10.0)
        book.expire(20.0 + HOLD_S[0])
        book.record_crash(ONE, TARGETS[3], 20.0 + HOLD_S[0])
        self.assertEqual(HOLD_S[1], book.check_request([ONE], 20.0 + HOLD_S[0]).fatal_for_s)

    def test_expired_records_are_removed(self) -> None:
        book = fatal_book(10.0)
        book.record_crash(OTHER, TARGETS[0], 10.0)
        book.record_completion(OTHER, 11.0)
        book.expire(12.0 + CLEARED_RETENTION_S)
        self.assertEqual([], book.suspects(0.0))
        book.expire(11.0 + RETENTION_S)
        self.assertEqual([], book.fatal())

    def test_suspects_are_bounded_and_evict_no_fatal_request(self) -> None:
        book = CrashBook(max_suspects=20, max_fatal=5)
        for later, target in enumerate(TARGETS[:FATAL_CRASHES]):
            book.record_crash(ONE, target, 8.0 + later)
        for number in range(100):
            book.record_crash(CauseId(f"f{number}"), TARGETS[0], 11.0)
        self.assertEqual(20, len(book.suspects(0.0)))
        self.assertEqual([ONE], book.fatal())
        for number in range(100):
            for later, target in enumerate(TARGETS[:FATAL_CRASHES]):
                book.record_crash(CauseId(f"f{number}"), target, 12.0 + later)
        self.assertEqual(5, len(book.fatal()))


crash_lists = st.lists(
    st.tuples(st.sampled_from(TARGETS), st.integers(0, 3)), min_size=1, max_size=6
)


class AnyOrderTests(testtools.TestCase):
    @given(crash_lists, st.randoms(use_true_random=False), st.floats(0.0, 0.5))
    def test_entries_with_the_same_sightings_agree(
        self, crashes: list[tuple[InstanceId, int]], rng: object, delay_s: float
    ) -> None:
        """Sightings arrive in any order, some repeatedly, up to half a second late."""
        reported = [(target, 10.0 + n * 10.0) for target, n in crashes]
        first, second = CrashBook(), CrashBook()
        for target, at_s in reported:
            first.record_crash(ONE, target, at_s)
        shuffled = reported * 2
        rng.shuffle(shuffled)  # type: ignore[attr-defined]
        for target, at_s in shuffled:
            source = CrashBook()
            source.record_crash(ONE, target, at_s)
            for sighting in source.sightings([ONE], 60.0):
                second.merge_sighting(sighting, 60.0 + delay_s)
        self.assertEqual(first.crash_count(ONE), second.crash_count(ONE))
        self.assertEqual(sorted(first.targets(ONE)), sorted(second.targets(ONE)))
