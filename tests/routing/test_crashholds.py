# SPDX-License-Identifier: Apache-2.0
"""The part of a prompt that crashes targets is told from what was in flight beside it."""

import itertools
import random

import testtools

from ochreway_core.cause import causes_of
from ochreway_core.ids import CauseId, Fingerprint, InstanceId, PartId
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashholds import (
    FATAL_CRASHES_KNOWN_SOUND,
    KNOWN_SOUND_HOLD_S,
    PART_HOLD_S,
)
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_routing.crashverdict import CrashVerdict

NOW_S = 1000.0
Causes = tuple[CauseId, ...]


class Site:
    """Record requests in a crash book, each with a body of its own."""

    def __init__(self) -> None:
        self.book = CrashBook()
        self.now_s = NOW_S
        self._numbers = itertools.count()

    def request(self, *parts: str, model: str | None = None, own: int | None = None) -> Causes:
        """Return the causes of a request that shares some parts of its prompt with others."""
        number = next(self._numbers) if own is None else own
        return causes_of(Fingerprint(f"f{number}"), [PartId(each) for each in parts], model)

    def crash(self, *in_flight: Causes, at_once: bool = False) -> None:
        """Have a target crash under some requests, a while after the crash before."""
        self.now_s += 0.0 if at_once else 0.5
        target = InstanceId(f"i-{next(self._numbers)}")
        for cause in {each for causes in in_flight for each in causes}:
            self.book.record_crash(cause, target, self.now_s)

    def serve(self, *requests: Causes) -> None:
        """Have targets survive some requests."""
        self.now_s += 0.1
        for cause in {each for causes in requests for each in causes}:
            self.book.record_completion(cause, self.now_s)

    def check(self, causes: Causes) -> CrashVerdict:
        return self.book.check_request(causes, self.now_s)

    def may_send(self, *parts: str, model: str | None = None) -> bool:
        """Return whether a new request may be sent, though it be on trial."""
        return self.check(self.request(*parts, model=model)).fatal_for_s == 0.0


class SharedPartTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.site = Site()

    def crash_with(self, part: str, times: int, first_parts: str = "abcdefgh") -> None:
        for first in first_parts[:times]:
            beside = self.site.request(first)
            self.site.crash(self.site.request(first, part), beside, self.site.request("x"))
            self.site.serve(self.site.request("x"))

    def test_requests_that_share_only_a_part_are_refused_from_its_third_crash_on(self) -> None:
        self.crash_with("bad", FATAL_CRASHES - 1)
        self.assertTrue(self.site.may_send("z", "bad"))
        self.crash_with("bad", 1, "c")
        verdict = self.site.check(self.site.request("z", "bad"))
        self.assertEqual("prompt_part_ends_targets", verdict.reason.value)
        self.assertGreater(verdict.fatal_for_s, PART_HOLD_S[0] - 1.0)

    def test_requests_with_other_parts_are_served_all_the_while(self) -> None:
        self.site.serve(self.site.request("a"))
        for _ in range(6):
            self.crash_with("bad", 1)
            for first in "axyz":
                verdict = self.site.check(self.site.request(first))
                self.assertEqual((0.0, False), (verdict.fatal_for_s, verdict.on_trial))

    def test_a_part_that_sound_requests_share_is_served_where_it_was_at_each_crash(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("shared", "bad"))
            self.site.serve(self.site.request("shared"))
        self.assertTrue(self.site.may_send("shared", "fine"))
        self.assertFalse(self.site.may_send("shared", "bad"))

    def test_a_part_known_to_be_sound_is_not_held_beside_one_that_never_was(self) -> None:
        self.site.serve(self.site.request("shared"))
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("shared", "bad"))
        verdict = self.site.check(self.site.request("shared"))
        self.assertEqual((0.0, False), (verdict.fatal_for_s, verdict.on_trial))
        self.assertFalse(self.site.may_send("other", "bad"))

    def test_parts_that_came_together_are_told_apart_by_one_trial(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("new", "bad"))
        self.assertFalse(self.site.may_send("new", "bad"))
        trial = self.site.request("new")
        self.assertTrue(self.site.check(trial).on_trial)
        waiting = self.site.check(self.site.request("new"))
        self.assertEqual(("may_end_targets", True), (waiting.reason.value, waiting.suspected))
        self.site.serve(trial)
        self.assertEqual((0.0, False), self.outcome(self.site.check(self.site.request("new"))))
        self.assertFalse(self.site.may_send("other", "bad"))

    def test_a_trial_that_crashes_its_target_shows_which_part_it_was(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("new", "bad"))
        trial = self.site.request("bad")
        self.assertTrue(self.site.check(trial).on_trial)
        self.site.crash(trial)
        self.assertFalse(self.site.may_send("bad"))
        trial = self.site.request("new")
        self.assertTrue(self.site.check(trial).on_trial)
        self.site.serve(trial)
        self.assertEqual((0.0, False), self.outcome(self.site.check(self.site.request("new"))))

    def outcome(self, verdict: CrashVerdict) -> tuple[float, bool]:
        return verdict.fatal_for_s, verdict.on_trial

    def test_one_request_again_and_again_and_its_part_are_told_apart(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("part", own=1))
        self.assertFalse(self.site.check(self.site.request("part", own=1)).fatal_for_s == 0.0)
        other = self.site.request("part")
        self.assertTrue(self.site.check(other).on_trial)
        self.site.serve(other)
        self.assertTrue(self.site.may_send("part"))
        self.assertEqual(
            "ends_targets", self.site.check(self.site.request("part", own=1)).reason.value
        )

    def test_two_parts_at_the_same_time_are_both_refused(self) -> None:
        for first in "abc":
            self.site.crash(self.site.request(first, "bad"), self.site.request("x"))
            self.site.crash(self.site.request(first, "worse"), self.site.request("y"))
            self.site.serve(self.site.request("x"), self.site.request("y"))
        self.assertFalse(self.site.may_send("a", "bad"))
        self.assertFalse(self.site.may_send("a", "worse"))
        self.assertTrue(self.site.may_send("a"))

    def test_two_parts_with_a_new_part_in_common_are_told_from_it_by_one_trial(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("new", "bad"))
            self.site.crash(self.site.request("new", "worse"))
        self.assertFalse(self.site.may_send("new", "bad"))
        trial = self.site.request("new")
        self.assertTrue(self.site.check(trial).on_trial)
        self.site.serve(trial)
        self.assertEqual((0.0, False), self.outcome(self.site.check(self.site.request("new"))))
        self.assertEqual({"part:bad", "part:worse"}, set(self.site.book.fatal()))

    def test_a_trial_without_other_explanations_that_crashes_settles_it(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("bad", "one"))
            self.site.crash(self.site.request("bad", "other"))
        trial = self.site.request("bad")
        self.assertTrue(self.site.check(trial).on_trial)
        self.site.crash(trial)
        self.site.now_s += 5.0
        self.assertFalse(self.site.may_send("bad"))
        self.assertEqual({"part:bad"}, set(self.site.book.fatal()))

    def test_a_request_that_crashed_three_targets_is_not_tried_for_other_explanations(self) -> None:
        self.site.serve(self.site.request("known"))
        for beside in ("one", "other", "one"):
            self.site.crash(self.site.request("known", own=1), self.site.request(beside))
        self.site.crash(self.site.request("other"))
        self.assertEqual(
            "ends_targets", self.site.check(self.site.request("known", own=1)).reason.value
        )

    def test_a_request_that_is_not_sent_yet_begins_no_trial(self) -> None:
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("new", "bad"))
        waiting = self.site.request("new")
        verdict = self.site.book.check_request(waiting, self.site.now_s, starts_trial=False)
        self.assertEqual((0.0, False), self.outcome(verdict))
        self.assertTrue(self.site.check(self.site.request("new")).on_trial)

    def test_a_part_in_all_requests_of_a_route_leaves_other_routes_served(self) -> None:
        self.site.serve(self.site.request("key"))
        for _ in range(FATAL_CRASHES):
            self.site.crash(self.site.request("key", "route"), self.site.request("key", "route"))
        self.assertFalse(self.site.may_send("key", "route"))
        self.assertTrue(self.site.may_send("key", "another"))

    def test_a_part_that_crashes_one_model_stays_held_there_while_others_serve_it(self) -> None:
        for first in "abc":
            self.site.crash(self.site.request(first, "bad", model="small"))
            self.site.serve(self.site.request(first, "bad", model="large"))
        self.assertFalse(self.site.may_send("d", "bad", model="small"))
        self.assertTrue(self.site.may_send("d", "bad", model="large"))

    def test_a_part_that_was_sound_until_now_is_found_a_crash_later(self) -> None:
        self.site.serve(self.site.request("a", "turned"), self.site.request("b"))
        for _ in range(FATAL_CRASHES_KNOWN_SOUND - 1):
            self.site.crash(self.site.request("a", "turned"), self.site.request("b"))
            self.site.serve(self.site.request("a"), self.site.request("b"))
        self.assertTrue(self.site.may_send("a", "turned"))
        self.site.crash(self.site.request("a", "turned"))
        self.site.serve(self.site.request("a"))
        held = self.site.check(self.site.request("c", "turned")).fatal_for_s
        self.assertGreater(held, 0.0)
        self.assertLessEqual(held, KNOWN_SOUND_HOLD_S[0])
        self.assertTrue(self.site.may_send("a"))

    def test_a_held_part_that_does_no_harm_any_more_is_served_after_one_trial(self) -> None:
        self.crash_with("bad", FATAL_CRASHES)
        self.site.now_s += PART_HOLD_S[0]
        trial = self.site.request("z", "bad")
        self.assertTrue(self.site.check(trial).on_trial)
        self.assertFalse(self.site.may_send("z", "bad"))
        self.site.serve(trial)
        self.assertEqual((0.0, False), self.outcome(self.site.check(self.site.request("z", "bad"))))


class OtherCausesTests(testtools.TestCase):
    """Targets that end for reasons of their own are put down to no part."""

    def setUp(self) -> None:
        super().setUp()
        self.site = Site()

    def test_targets_that_end_at_the_same_moment_count_once(self) -> None:
        in_flight = self.site.request("popular")
        self.site.crash(in_flight)
        for _ in range(11):
            self.site.now_s += 0.001
            self.site.crash(self.site.request("popular"), at_once=True)
        self.assertTrue(self.site.may_send("popular"))

    def test_a_popular_part_stays_served_while_targets_end_one_after_the_other(self) -> None:
        for _ in range(20):
            self.site.serve(self.site.request("popular"))
            self.site.crash(self.site.request("popular"), self.site.request("popular"))
            self.assertTrue(self.site.may_send("popular"))

    def test_targets_that_end_by_themselves_beside_a_guilty_part_hold_nothing_else(self) -> None:
        rng = random.Random(61)
        for _ in range(12):
            firsts = rng.sample("abcdefghijklmnop", 5)
            beside = [self.site.request(first) for first in firsts]
            self.site.crash(*beside)
            self.site.crash(*beside, self.site.request(firsts[0], "bad"))
            self.site.serve(*(self.site.request(first) for first in "abcdefghijklmnop"))
        self.assertFalse(self.site.may_send("a", "bad"))
        self.assertEqual({"part:bad"}, set(self.site.book.fatal()))


class CauseTests(testtools.TestCase):
    def test_names_of_any_kind_become_short_and_safe(self) -> None:
        for name in ("x" * 5000, "\udcff", "a\nb", "é"):
            (_, cause, for_model) = causes_of(Fingerprint("f"), [PartId(name)], name)
            for each in (cause, for_model):
                self.assertLess(len(each.encode()), 150)
                self.assertTrue(each.isprintable())

    def test_the_parts_of_a_request_are_bounded(self) -> None:
        parts = [PartId(f"{n}") for n in range(5000)]
        self.assertEqual(1 + 2 * 32, len(causes_of(Fingerprint("f"), parts, "m")))
