# SPDX-License-Identifier: Apache-2.0
"""Loads beyond a full group, served by the queue and by the ways that it is compared with."""

import testtools

from ochreway_routing.fairqueue import LOWER_CLASS_INTERVAL
from tests.direct.queueload import (
    OBJECTIVES_S,
    RUN_S,
    SLOTS,
    Caller,
    Discipline,
    Ordered,
    Polling,
    Queued,
    play,
    share_in_time,
    steady,
)

PLACES_PER_S = SLOTS / RUN_S
FULL_S = 4.0
"""Time from which the slots are full and become free one by one."""


def first_come() -> Discipline:
    return Ordered(lambda each: each.at_s)


def strict_priority() -> Discipline:
    return Ordered(lambda each: (each.priority, each.at_s))


def behind_a_burst(discipline: Discipline) -> float:
    """Return the part of urgent callers in time behind a burst of the least urgent kind."""
    urgent = steady(0.4 * PLACES_PER_S, FULL_S, 8.0, "u", priority=0)
    burst = [Caller(f"b{n}", FULL_S + n * 0.001, 2) for n in range(60)]
    more = steady(1.5 * PLACES_PER_S, 0.0, 8.0, "m", priority=2)
    play(discipline, [*urgent, *burst, *more], 12.0)
    return share_in_time(urgent)


def urgent_burst(discipline: Discipline) -> float:
    """Return the part of an urgent burst in time that comes into a queue of others."""
    others = steady(1.5 * PLACES_PER_S, 0.0, 8.0, "o", priority=2)
    urgent = [Caller(f"u{n}", FULL_S, 0) for n in range(3)]
    play(discipline, [*others, *urgent], 12.0)
    return share_in_time(urgent)


def one_large_organisation(discipline: Discipline) -> float:
    """Return the part of small organisations' callers in time beside one with half of all."""
    small = [
        each
        for n in range(5)
        for each in steady(0.15 * PLACES_PER_S, 0.01 * n, 10.0, f"s{n}-", organisation=f"s{n}")
    ]
    big = steady(0.75 * PLACES_PER_S, 0.0, 10.0, "big", organisation="big")
    play(discipline, [*small, *big], 14.0)
    return share_in_time([each for each in small if each.at_s >= FULL_S])


def least_beside_urgent(discipline: Discipline) -> float:
    """Return the part of the places that the least urgent kind gets beside too many urgent."""
    urgent = steady(2.0 * PLACES_PER_S, 0.0, 14.0, "u", priority=0)
    least = steady(0.5 * PLACES_PER_S, FULL_S, 14.0, "b", priority=2)
    play(discipline, [*urgent, *least], 14.0)
    return sum(each.first_part_s is not None for each in least) / (10.0 * PLACES_PER_S)


def all_return(discipline: Discipline) -> float:
    """Return the tries for each caller served if a burst is refused and returns as told."""
    more = steady(0.8 * PLACES_PER_S, 0.0, 10.0, "m")
    burst = [Caller(f"c{n}", FULL_S + 0.001 * n) for n in range(60)]
    play(discipline, [*more, *burst], 12.0, returns=True)
    callers = [each for each in [*more, *burst] if each.at_s >= FULL_S]
    return sum(each.tries for each in callers) / sum(
        each.first_part_s is not None for each in callers
    )


class LoadTests(testtools.TestCase):
    def test_a_burst_of_the_least_urgent_kind_does_not_delay_urgent_callers(self) -> None:
        """Guards against urgent callers that are refused or late behind a burst of others."""
        queued = behind_a_burst(Queued())
        self.assertGreaterEqual(queued, 0.9)
        self.assertGreater(queued, behind_a_burst(Polling()) + 0.1)
        self.assertGreater(queued, behind_a_burst(first_come()) + 0.1)

    def test_an_urgent_burst_goes_before_those_who_wait(self) -> None:
        """Guards against an urgent burst that waits behind less urgent calls."""
        queued = urgent_burst(Queued())
        self.assertGreater(queued, urgent_burst(Polling()))
        self.assertGreater(queued, urgent_burst(first_come()))

    def test_an_organisation_with_half_of_all_callers_gets_its_share(self) -> None:
        """Guards against small organisations that get places in proportion to their callers."""
        queued = one_large_organisation(Queued())
        self.assertGreaterEqual(queued, 0.8)
        self.assertGreater(queued, one_large_organisation(Polling()) + 0.1)
        self.assertGreater(queued, one_large_organisation(first_come()) + 0.1)

    def test_the_least_urgent_kind_is_served_while_urgent_callers_are_too_many(self) -> None:
        """Guards against a class that starves under strict priority."""
        self.assertGreaterEqual(least_beside_urgent(Queued()), 0.8 / LOWER_CLASS_INTERVAL)
        self.assertLess(least_beside_urgent(strict_priority()), 0.5 / LOWER_CLASS_INTERVAL)

    def test_refused_callers_who_all_return_are_seldom_refused_again(self) -> None:
        """Guards against refused callers who return together, only to be refused again."""
        self.assertLess(all_return(Queued()), all_return(Polling()))

    def test_every_caller_is_served_or_refused_once(self) -> None:
        """Guards against callers that are lost, or served after a refusal."""
        callers = [Caller(f"c{n}", 0.02 * n, n % 3, f"o{n % 4}") for n in range(300)]
        play(Queued(), callers, 12.0)
        for each in callers:
            self.assertNotEqual(each.first_part_s is None, each.back_s is None)


class ReturnTests(testtools.TestCase):
    def test_promised_places_are_kept_for_those_who_return(self) -> None:
        """Guards against promises that calls which came later use up."""
        queued = Queued()
        callers = [Caller(f"c{n}", FULL_S) for n in range(40)]
        others = steady(0.6 * PLACES_PER_S, 0.0, 8.0, "l")
        play(queued, [*callers, *others], 10.0, returns=True)
        promised = [each for each in callers if each.promised]
        self.assertGreaterEqual(len(promised), 2)
        self.assertEqual(len(promised), len({each.back_s for each in promised}))
        for each in promised:
            assert each.first_part_s is not None and each.back_s is not None
            self.assertLess(each.first_part_s - each.back_s, OBJECTIVES_S[1])
