# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.ids import Fingerprint, InstanceId
from ochreway_routing.crashbook import CLEARED_KEPT_S, REMEMBERED_S, CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES, SAME_CRASH_S

ONE, OTHER = Fingerprint("one"), Fingerprint("other")
TARGETS = [InstanceId(f"i-{n}") for n in range(5)]
LATER_S = SAME_CRASH_S + 0.1


def fatal_book(at_s: float = 10.0) -> CrashBook:
    book = CrashBook()
    for target in TARGETS[:FATAL_CRASHES]:
        book.crashed(ONE, target, at_s)
    return book


class CrashBookTests(testtools.TestCase):
    def test_a_request_is_fatal_from_its_third_crash_on(self) -> None:
        book = CrashBook()
        for number, target in enumerate(TARGETS[:FATAL_CRASHES]):
            self.assertEqual((number, 0.0), (book.crashes(ONE), book.asked(ONE, 10.0).fatal_for_s))
            self.assertTrue(book.crashed(ONE, target, 10.0))
        self.assertEqual(REMEMBERED_S, book.asked(ONE, 10.0).fatal_for_s)
        self.assertEqual(0.0, book.asked(OTHER, 10.0).fatal_for_s)

    def test_one_end_of_a_target_counts_once_whoever_tells_it(self) -> None:
        book = CrashBook()
        self.assertTrue(book.crashed(ONE, TARGETS[0], 10.0))
        self.assertFalse(book.crashed(ONE, TARGETS[0], 10.4))
        self.assertEqual(1, book.crashes(ONE))

    def test_a_target_that_came_back_under_its_id_ends_anew(self) -> None:
        book = CrashBook()
        for number in range(FATAL_CRASHES):
            book.crashed(ONE, TARGETS[0], 10.0 + number * LATER_S)
        self.assertGreater(book.asked(ONE, 20.0).fatal_for_s, 0.0)

    def test_a_good_end_shows_that_a_request_is_innocent(self) -> None:
        book = CrashBook()
        self.assertFalse(book.finished(ONE, 9.0))
        for target in TARGETS[:2]:
            book.crashed(ONE, target, 10.0)
        self.assertTrue(book.finished(ONE, 11.0))
        book.crashed(ONE, TARGETS[2], 12.0)
        self.assertEqual((1, 0.0), (book.crashes(ONE), book.asked(ONE, 12.0).fatal_for_s))

    def test_older_words_do_not_undo_a_good_end(self) -> None:
        book, elsewhere = CrashBook(), fatal_book()
        for sighting in elsewhere.sightings([ONE], 10.0):
            book.hear(sighting, 10.0)
        book.finished(ONE, 11.0)
        for sighting in elsewhere.sightings([ONE], 12.0):
            self.assertFalse(book.hear(sighting, 12.0))
        self.assertEqual(0, book.crashes(ONE))

    def test_a_good_end_elsewhere_counts_here(self) -> None:
        book, elsewhere = fatal_book(), fatal_book()
        elsewhere.finished(ONE, 20.0)
        for sighting in elsewhere.sightings([ONE], 21.0):
            self.assertTrue(book.hear(sighting, 21.0))
        self.assertEqual(0.0, book.asked(ONE, 21.0).fatal_for_s)

    def test_a_refusal_lasts_while_the_request_is_asked_for(self) -> None:
        book = fatal_book(10.0)
        self.assertGreater(book.asked(ONE, 400.0).fatal_for_s, 0.0)
        self.assertGreater(book.asked(ONE, 10.0 + REMEMBERED_S).fatal_for_s, 0.0)

    def test_long_after_it_was_asked_for_it_is_tried_once(self) -> None:
        book = fatal_book(10.0)
        later_s = 11.0 + REMEMBERED_S
        self.assertEqual((0.0, True), self.verdict(book, later_s))
        self.assertEqual((REMEMBERED_S, False), self.verdict(book, later_s))
        book.finished(ONE, later_s)
        self.assertEqual((0.0, False), self.verdict(book, later_s))

    def verdict(self, book: CrashBook, at_s: float) -> tuple[float, bool]:
        found = book.asked(ONE, at_s)
        return found.fatal_for_s, found.on_trial

    def test_after_that_one_more_crash_makes_it_fatal_again(self) -> None:
        book = fatal_book(10.0)
        book.expire(20.0 + REMEMBERED_S)
        book.crashed(ONE, TARGETS[3], 20.0 + REMEMBERED_S)
        self.assertGreater(book.asked(ONE, 20.0 + REMEMBERED_S).fatal_for_s, 0.0)

    def test_what_is_too_old_is_forgotten(self) -> None:
        book = fatal_book(10.0)
        book.crashed(OTHER, TARGETS[0], 10.0)
        book.finished(OTHER, 11.0)
        book.expire(12.0 + CLEARED_KEPT_S)
        self.assertEqual([], book.suspects(0.0))
        book.expire(11.0 + 2 * REMEMBERED_S)
        self.assertEqual([], book.fatal())

    def test_suspects_are_bounded_and_push_out_no_fatal_request(self) -> None:
        book = CrashBook(suspects_at_most=20, fatal_at_most=5)
        for target in TARGETS[:FATAL_CRASHES]:
            book.crashed(ONE, target, 10.0)
        for number in range(100):
            book.crashed(Fingerprint(f"f{number}"), TARGETS[0], 11.0)
        self.assertEqual(20, len(book.suspects(0.0)))
        self.assertEqual([ONE], book.fatal())
        for number in range(100):
            for target in TARGETS[:FATAL_CRASHES]:
                book.crashed(Fingerprint(f"f{number}"), target, 12.0)
        self.assertEqual(5, len(book.fatal()))


ends = st.lists(st.tuples(st.sampled_from(TARGETS), st.integers(0, 3)), min_size=1, max_size=6)


class AnyOrderTests(testtools.TestCase):
    @given(ends, st.randoms(use_true_random=False), st.floats(0.0, 0.5))
    def test_entries_that_heard_the_same_agree(
        self, crashes: list[tuple[InstanceId, int]], chance: object, delay_s: float
    ) -> None:
        """Words come in any order, each as often as it likes, up to half a second late."""
        told = [(target, 10.0 + n * 10.0) for target, n in crashes]
        first, second = CrashBook(), CrashBook()
        for target, at_s in told:
            first.crashed(ONE, target, at_s)
        shuffled = told * 2
        chance.shuffle(shuffled)  # type: ignore[attr-defined]
        for target, at_s in shuffled:
            source = CrashBook()
            source.crashed(ONE, target, at_s)
            for sighting in source.sightings([ONE], 60.0):
                second.hear(sighting, 60.0 + delay_s)
        self.assertEqual(first.crashes(ONE), second.crashes(ONE))
        self.assertEqual(sorted(first.targets(ONE)), sorted(second.targets(ONE)))
