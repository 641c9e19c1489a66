# SPDX-License-Identifier: Apache-2.0
"""The order of waiting calls across entries that hear of each other by heartbeats."""

import random
from collections.abc import Callable

import testtools

from ochreway_direct.entries.remotework import COUNTS_MAX_AGE_S
from ochreway_direct.queueing.queuetuning import QueueTuning
from tests.direct.entriesload import DELAY_S, HEARTBEAT_S, Entries, Site
from tests.direct.queueload import RUN_S, STEP_S

UNTIL_S = 6.0
HEARD_S = HEARTBEAT_S + DELAY_S
HOLD_S = QueueTuning().max_hold_s
URGENT, LEAST = 0, 2


def arrivals(rng: random.Random, per_step: float) -> int:
    return int(per_step) + (rng.random() < per_step % 1.0)


def play(count: int, told: bool, event: Callable[[Entries], None] = lambda _: None) -> Entries:
    """Offer twice the places, with most urgent callers where the fewest others are."""
    entries, rng = Entries(count, told), random.Random(5)
    per_step = entries.slots / RUN_S * STEP_S
    while entries.now_s < UNTIL_S:
        event(entries)
        entries.step()
        up = [each for each in entries.sites if each.up]
        place = {each.name: number % 5 for number, each in enumerate(entries.sites)}
        for _ in range(arrivals(rng, 0.8 * per_step)):
            weights = [1.0 if place[each.name] == 4 else 0.1 for each in up]
            organisation = f"s{rng.randrange(10)}"
            entries.offer(rng.choices(up, weights)[0], URGENT, organisation)
        for _ in range(arrivals(rng, 1.2 * per_step)):
            weights = [1.0 / (1 + place[each.name]) for each in up]
            organisation = "big" if rng.random() < 0.5 else f"s{rng.randrange(10)}"
            entries.offer(rng.choices(up, weights)[0], LEAST, organisation)
    return entries


def largest_part(entries: Entries) -> float:
    admitted = entries.seen.admitted
    return max(admitted.values()) / sum(admitted.values())


def urgent_in_time(entries: Entries) -> float:
    return entries.seen.in_time[URGENT] / entries.seen.offered[URGENT]


def passed_s(entries: Entries) -> float:
    return max(entries.seen.passed_s, default=0.0)


class OrderAcrossEntriesTests(testtools.TestCase):
    def check_bounds(self, entries: Entries, heard_s: float = HEARD_S) -> None:
        """Check the time for which one call is passed, and that for which a place is unused."""
        self.assertLessEqual(passed_s(entries), HEARD_S)
        self.assertLessEqual(entries.seen.longest_idle_s, heard_s + HOLD_S + STEP_S)

    def test_uneven_callers_at_five_entries(self) -> None:
        """Guards against less urgent calls that pass, and a share at each entry."""
        self.check_uneven(5)

    def test_uneven_callers_at_fifteen_entries(self) -> None:
        """Guards against the same where most entries have no urgent callers."""
        self.check_uneven(15)

    def test_uneven_callers_at_twenty_four_entries(self) -> None:
        """Guards against the same in the largest mesh."""
        self.check_uneven(24)

    def check_uneven(self, count: int) -> None:
        baseline, entries = play(count, told=False), play(count, told=True)
        self.check_bounds(entries)
        self.assertGreater(entries.seen.busy_s, 0.99 * baseline.seen.busy_s)
        self.assertGreater(urgent_in_time(entries), urgent_in_time(baseline))
        self.assertLess(largest_part(entries), largest_part(baseline))

    def test_uneven_callers_at_sixty_entries_whose_heads_add_up(self) -> None:
        """Guards against order and shares that are lost on the way through heads."""
        baseline, entries = play(60, told=False), play(60, told=True)
        self.check_bounds(entries, heard_s=3.0 * HEARD_S)
        self.assertGreater(entries.seen.busy_s, 0.99 * baseline.seen.busy_s)
        self.assertLess(largest_part(entries), largest_part(baseline))

    def test_an_entry_cut_off_goes_by_its_own_queue(self) -> None:
        """Guards against an entry that keeps places for calls which it hears of no more."""

        def cut(entries: Entries) -> None:
            entries.sites[0].linked = entries.now_s < 2.0

        entries = play(5, True, cut)
        site = entries.sites[0]
        facts = site.facts(entries.now_s)
        self.assertEqual(({}, 0, 0), (dict(facts.waiting), facts.waiting_entries, facts.sources))
        self.assertTrue(site.running)
        self.check_bounds(entries, heard_s=COUNTS_MAX_AGE_S + HEARD_S)

    def test_an_entry_that_joins_is_counted(self) -> None:
        """Guards against an order that knows only the entries of the start."""

        def join(entries: Entries) -> None:
            entries.sites[-1].up = entries.now_s >= 2.0

        entries = play(5, True, join)
        self.check_bounds(entries)
        self.assertEqual({4}, {self.sources(each, entries) for each in entries.sites})

    def test_places_are_not_kept_for_an_entry_that_was_killed(self) -> None:
        """Guards against places that stay unused while the counts of a lost entry last."""

        def kill(entries: Entries) -> None:
            if entries.now_s >= 2.0 and entries.sites[-1].up:
                entries.kill(entries.sites[-1])

        entries = play(5, True, kill)
        self.check_bounds(entries, heard_s=COUNTS_MAX_AGE_S + HEARD_S)
        self.assertEqual({3}, {self.sources(each, entries) for each in entries.sites[:-1]})

    def sources(self, site: Site, entries: Entries) -> int:
        return site.facts(entries.now_s).sources
