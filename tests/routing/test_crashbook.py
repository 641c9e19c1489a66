# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.ids import Fingerprint, InstanceId
from ochreway_routing.crashbook import CLEARED_RETENTION_S, QUARANTINE_S, CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES, SAME_CRASH_WINDOW_S

ONE, OTHER = Fingerprint("one"), Fingerprint("other")
TARGETS = [InstanceId(f"i-{n}") for n in range(5)]
LATER_S = SAME_CRASH_WINDOW_S + 0.1


def fatal_book(at_s: float = 10.0) -> CrashBook:
    book = CrashBook()
    for target in TARGETS[:FATAL_CRASHES]:
        book.record_crash(ONE, target, at_s)
    return book


class CrashBookTests(testtools.TestCase):
    def test_a_request_is_fatal_from_its_third_crash_on(self) -> None:
        book = CrashBook()
        for number, target in enumerate(TARGETS[:FATAL_CRASHES]):
            self.assertEqual(
                (number, 0.0), (book.crash_count(ONE), book.check_request(ONE, 10.0).fatal_for_s)
            )
            self.assertTrue(book.record_crash(ONE, target, 10.0))
        self.assertEqual(QUARANTINE_S, book.check_request(ONE, 10.0).fatal_for_s)
        self.assertEqual(0.0, book.check_request(OTHER, 10.0).fatal_for_s)

    def test_one_crash_counts_once_however_often_reported(self) -> None:
        book = CrashBook()
        self.assertTrue(book.record_crash(ONE, TARGETS[0], 10.0))
        self.assertFalse(book.record_crash(ONE, TARGETS[0], 10.4))
        self.assertEqual(1, book.crash_count(ONE))

    def test_second_crash_of_a_restarted_target_counts_again(self) -> None:
        book = CrashBook()
        for number in range(FATAL_CRASHES):
            book.record_crash(ONE, TARGETS[0], 10.0 + number * LATER_S)
        self.assertGreater(book.check_request(ONE, 20.0).fatal_for_s, 0.0)

    def test_completion_clears_earlier_crashes(self) -> None:
        book = CrashBook()
        self.assertFalse(book.record_completion(ONE, 9.0))
        for target in TARGETS[:2]:
            book.record_crash(ONE, target, 10.0)
        self.assertTrue(book.record_completion(ONE, 11.0))
        book.record_crash(ONE, TARGETS[2], 12.0)
        self.assertEqual(
            (1, 0.0), (book.crash_count(ONE), book.check_request(ONE, 12.0).fatal_for_s)
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
        self.assertEqual(0.0, book.check_request(ONE, 21.0).fatal_for_s)

    def test_refusal_lasts_while_the_request_is_repeated(self) -> None:
        book = fatal_book(10.0)
        self.assertGreater(book.check_request(ONE, 400.0).fatal_for_s, 0.0)
        self.assertGreater(book.check_request(ONE, 10.0 + QUARANTINE_S).fatal_for_s, 0.0)

    def test_fatal_request_gets_one_trial_after_quarantine(self) -> None:
        book = fatal_book(10.0)
        later_s = 11.0 + QUARANTINE_S
        self.assertEqual((0.0, True), self.verdict(book, later_s))
        self.assertEqual((QUARANTINE_S, False), self.verdict(book, later_s))
        book.record_completion(ONE, later_s)
        self.assertEqual((0.0, False), self.verdict(book, later_s))

    def verdict(self, book: CrashBook, at_s: float) -> tuple[float, bool]:
        result = book.check_request(ONE, at_s)
        return result.fatal_for_s, result.on_trial

    def test_one_more_crash_after_quarantine_makes_it_fatal_again(self) -> None:
        book = fatal_book(10.0)
        book.expire(20.0 + QUARANTINE_S)
        book.record_crash(ONE, TARGETS[3], 20.0 + QUARANTINE_S)
        self.assertGreater(book.check_request(ONE, 20.0 + QUARANTINE_S).fatal_for_s, 0.0)

    def test_expired_records_are_removed(self) -> None:
        book = fatal_book(10.0)
        book.record_crash(OTHER, TARGETS[0], 10.0)
        book.record_completion(OTHER, 11.0)
        book.expire(12.0 + CLEARED_RETENTION_S)
        self.assertEqual([], book.suspects(0.0))
        book.expire(11.0 + 2 * QUARANTINE_S)
        self.assertEqual([], book.fatal())

    def test_suspects_are_bounded_and_evict_no_fatal_request(self) -> None:
        book = CrashBook(max_suspects=20, max_fatal=5)
        for target in TARGETS[:FATAL_CRASHES]:
            book.record_crash(ONE, target, 10.0)
        for number in range(100):
            book.record_crash(Fingerprint(f"f{number}"), TARGETS[0], 11.0)
        self.assertEqual(20, len(book.suspects(0.0)))
        self.assertEqual([ONE], book.fatal())
        for number in range(100):
            for target in TARGETS[:FATAL_CRASHES]:
                book.record_crash(Fingerprint(f"f{number}"), target, 12.0)
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
