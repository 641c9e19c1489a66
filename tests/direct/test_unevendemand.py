# SPDX-License-Identifier: Apache-2.0
"""Groups of two models of unlike size, prompts and demand while engines are lost."""

import statistics
from collections.abc import Callable

import testtools

from ochreway_standins.engineworld import LARGE, SMALL
from tests.direct.unevenday import (
    KINDS,
    SITE,
    WIDE_KINDS,
    WIDE_LARGE,
    WIDE_SITE,
    WIDE_SMALL,
    Losses,
    ServedWork,
    play_day,
)

SEEDS = range(1, 17)
MAX_GAP = 0.15
"""A kind of request may earn a smaller share than another of its service by 15 in 100."""
FLOOR = 0.28
"""Share that each kind of request has to earn on a day, the highest that is asked for."""
DOMAIN_LOST = Losses(domain_at_s=11.0)
WIDE_DOMAIN_LOST = Losses(engine_every_s=2.0, domain_at_s=11.0)


def days(play: Callable[[int], ServedWork]) -> list[ServedWork]:
    """Play a day for each seed."""
    return [play(seed) for seed in SEEDS]


class UnevenDemandTests(testtools.TestCase):
    """Guard against refusals of one kind of request while others have groups to spare."""

    def test_callers_of_large_groups_are_served_while_engines_are_lost_one_by_one(self) -> None:
        played = days(lambda seed: play_day(seed, KINDS, SITE))
        gap = statistics.fmean(day.share(SMALL) - day.share(LARGE) for day in played)
        self.assertLessEqual(gap, MAX_GAP)
        self.assertGreaterEqual(min(day.share(LARGE) for day in played), FLOOR)
        self.assertGreaterEqual(min(day.share(SMALL) for day in played), FLOOR)

    def test_callers_of_large_groups_are_served_after_a_domain_was_lost(self) -> None:
        played = days(lambda seed: play_day(seed, KINDS, SITE, losses=DOMAIN_LOST))
        gap = statistics.fmean(day.share(SMALL) - day.share(LARGE) for day in played)
        self.assertLessEqual(gap, MAX_GAP)
        self.assertGreaterEqual(min(day.share(LARGE) for day in played), FLOOR)
        self.assertGreaterEqual(min(day.share(SMALL) for day in played), FLOOR)

    def test_callers_of_groups_of_twelve_are_served_after_a_domain_was_lost(self) -> None:
        played = days(lambda seed: play_day(seed, WIDE_KINDS, WIDE_SITE, 3, 27, WIDE_DOMAIN_LOST))
        gap = statistics.fmean(day.share(WIDE_SMALL) - day.share(WIDE_LARGE) for day in played)
        self.assertLessEqual(gap, MAX_GAP)
        self.assertGreaterEqual(min(day.share(WIDE_LARGE) for day in played), FLOOR)
        self.assertGreaterEqual(min(day.share(WIDE_SMALL) for day in played), FLOOR)
