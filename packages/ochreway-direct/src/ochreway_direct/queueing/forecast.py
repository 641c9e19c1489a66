# SPDX-License-Identifier: Apache-2.0
"""Forecast of when waiting calls get a place, from measured times."""

import math
from collections import defaultdict

from ochreway_direct.configuration import EngineSpec
from ochreway_direct.demand.decayingsum import DECAY_S
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.ratemeter import RateMeter
from ochreway_routing.fairqueue import LOWER_CLASS_INTERVAL
from ochreway_routing.work import Urgency

LEARN_WEIGHT = 0.1
"""Weight of a new sample in the moving averages."""
PRIOR_PLACES = 5.0
"""Weight of the expected rate against the places measured, as a number of places."""
MAX_CORRECTION = 2.0
"""Bound on the correction of the expected rate.

If the rate is too low, calls are refused, and then fewer places are measured to correct it.
"""
LIKELY_ARRIVALS = 0.5
"""Expected number of arrivals from which on a slot is left free for one."""


class Forecast:
    """Measure places, arrivals and running times of a model, and tell when a place is expected.

    The rate of places is that of full groups, corrected by the ratio of the places that waiting
    calls got to those that this rate predicted. So it follows a lost or new group at once.
    """

    def __init__(self, spec: EngineSpec) -> None:
        """Start with the times that the configuration gives."""
        self._run_s = spec.slots * spec.turn_s
        reading_s = spec.usual_prompt_tokens / spec.read_tokens_per_s
        self.first_part_s = reading_s + spec.token_s(spec.slots)
        self.error_s = 0.0
        self._places = 0.0
        self._expected_places = 0.0
        self._updated_s: float | None = None
        self._waited_for = False
        self._arrivals: defaultdict[Urgency, RateMeter] = defaultdict(RateMeter)

    # Measurements

    def record_arrival(self, urgency: Urgency, now_s: float) -> None:
        """Record the first try of a call."""
        self._arrivals[urgency].record(now_s)

    def record_run(self, run_s: float) -> None:
        """Record how long an answered attempt had its place."""
        self._run_s += LEARN_WEIGHT * (run_s - self._run_s)

    def record_first_part(self, first_part_s: float) -> None:
        """Record the time from a place to the first part of an answer."""
        self.first_part_s += LEARN_WEIGHT * (first_part_s - self.first_part_s)

    def record_place(self, forecast_s: float | None, waited_s: float) -> None:
        """Record that a call got a place, and how long it was expected to wait for it.

        Only places that calls waited for count, as time without waiting calls does not count.
        """
        if self._waited_for:
            self._places += 1.0
        if forecast_s is not None and math.isfinite(forecast_s):
            self.error_s += LEARN_WEIGHT * (abs(forecast_s - waited_s) - self.error_s)

    def advance(self, facts: PlaceFacts, waiting: bool, now_s: float) -> None:
        """Count the places that were expected since the last update, if calls waited for them."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        if elapsed_s <= 0.0:
            return
        self._waited_for = waiting
        decay = math.exp(-elapsed_s / DECAY_S)
        self._places *= decay
        self._expected_places *= decay
        if waiting:
            self._expected_places += self._full_rate_per_s(facts) * elapsed_s

    # Queries

    def places_per_s(self, facts: PlaceFacts) -> float:
        """Return the rate at which waiting calls of this entry get places."""
        correction = (PRIOR_PLACES + self._places) / (PRIOR_PLACES + self._expected_places)
        bounded = min(MAX_CORRECTION, max(1.0 / MAX_CORRECTION, correction))
        return self._full_rate_per_s(facts) * bounded

    def wait_s(
        self,
        ahead: float,
        urgency: Urgency,
        facts: PlaceFacts,
        now_s: float,
        older: int | None = None,
    ) -> float:
        """Return how long a call waits for its place; infinite if no place is known to come.

        Args:
            ahead: number of calls that go first if none is added.
            urgency: class of the call; more urgent calls that arrive meanwhile go first.
            facts: facts of the groups.
            now_s: the time.
            older: number of older calls of its class if that is the lowest one, which gets a place
                every few dispatches whatever arrives.
        """
        rate_per_s = self.places_per_s(facts)
        if not rate_per_s:
            return math.inf
        least_per_s = rate_per_s / LOWER_CLASS_INTERVAL
        left_per_s = rate_per_s - self._more_urgent_per_s(urgency, now_s)
        wait_s = (ahead + 1.0) / max(left_per_s, least_per_s)
        if older is not None:
            wait_s = min(wait_s, (older + 1.0) / least_per_s)
        return facts.blocked_s + wait_s

    def spare_places_per_s(self, urgency: Urgency, facts: PlaceFacts, now_s: float) -> float:
        """Return the rate of places that new calls of a class and more urgent ones leave.

        It is at least the part that the lowest class gets, so that some who return get a place.
        """
        rate_per_s = self.places_per_s(facts)
        new_per_s = sum(
            meter.per_s(now_s) for other, meter in self._arrivals.items() if other <= urgency
        )
        return max(rate_per_s - new_per_s, rate_per_s / LOWER_CLASS_INTERVAL)

    def more_urgent_expected(
        self, urgency: Urgency, slots: int, facts: PlaceFacts, now_s: float
    ) -> bool:
        """Return whether a more urgent call is expected before some slots become free.

        Calls and slots of all entries count. Arrivals at other entries are estimated from those
        here, by this entry's share of the places.
        """
        frees_s = slots * self._run_s / max(1, facts.groups * facts.slots)
        arrivals_per_s = self._more_urgent_per_s(urgency, now_s) / facts.share
        return arrivals_per_s * frees_s >= LIKELY_ARRIVALS

    def _more_urgent_per_s(self, urgency: Urgency, now_s: float) -> float:
        return sum(meter.per_s(now_s) for other, meter in self._arrivals.items() if other < urgency)

    def _full_rate_per_s(self, facts: PlaceFacts) -> float:
        return facts.share * facts.groups * facts.slots / self._run_s


__all__ = ["Forecast"]
