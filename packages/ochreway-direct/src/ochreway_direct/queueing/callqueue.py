# SPDX-License-Identifier: Apache-2.0
"""Decisions about the calls that wait for one model."""

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Hashable
from typing import TypeVar

from result import Err, Ok, Result

from ochreway_core.ids import HallId
from ochreway_core.reason import Reason
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.queueing.callforecast import CallForecast
from ochreway_direct.queueing.forecast import Forecast
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.promises import Promise, Promises
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_routing.fairqueue import Displacement, FairQueue
from ochreway_routing.work import Urgency, Work

Place = TypeVar("Place")

FactsOf = Callable[[frozenset[HallId] | None], PlaceFacts]
"""Return the facts of the groups within some halls, or of all."""


class CallQueue:
    """Order the waiting calls of a model, and decide who gets a place, waits or is refused.

    Time and facts are given with each decision, which has no other input and no side effects
    outside of the queue.
    """

    def __init__(
        self,
        spec: EngineSpec,
        max_queued: int,
        max_queued_resuming: int,
        rng: random.Random,
        tuning: QueueTuning,
    ) -> None:
        """Start empty.

        Args:
            spec: the engines of the service.
            max_queued: number of requests that a group may get beyond its slots.
            max_queued_resuming: the same for calls whose answer has begun.
            rng: source of randomness that spreads return times.
            tuning: bounds and time constants.
        """
        self._max_queued = max_queued
        self._max_queued_resuming = max_queued_resuming
        self._rng = rng
        self._tuning = tuning
        self._queue: FairQueue[WaitingCall] = FairQueue(
            capacity=tuning.max_length, slots=spec.slots, displacement=Displacement.BY_CLASS
        )
        self._works: dict[WaitingCall, Work[WaitingCall]] = {}
        self._in_time = 0
        self._free_since_s: deque[float] = deque()
        self._holds = False
        self.forecast = Forecast(spec)
        self.promises = Promises(tuning)

    def __len__(self) -> int:
        return len(self._queue)

    def advance(self, facts: PlaceFacts, now_s: float) -> None:
        """Update the measured rate of places and what runs; called before the queue changes."""
        self._queue.set_running_elsewhere(facts.served_by)
        self._record_free(facts.free, now_s)
        self.forecast.advance(facts, bool(self._works), now_s)

    def offer(
        self, waiting: WaitingCall, facts: PlaceFacts, longest_objective_s: float, now_s: float
    ) -> Result[WaitingCall | None, Reason]:
        """Queue a call; return the call that it displaced, or why it is refused."""
        promise = self.promises.redeem(waiting.fingerprint, now_s) if waiting.first_try else None
        if promise is not None:
            # The objective of a caller counts from its first try.
            waiting.objective_end_s = min(waiting.objective_end_s, promise.objective_end_s)
            waiting.returned = promise.has_place
            waiting.late = waiting.objective_end_s <= now_s and not waiting.returned
        work = waiting.work()
        if waiting.first_try and promise is None:
            self.forecast.record_arrival(work.urgency, now_s)
        self._queue.capacity = self._capacity(facts, longest_objective_s)
        if waiting.must_run:
            self._queue.capacity = max(self._queue.capacity, self._capacity_to_run())
        elif waiting.returned:
            # Its place was promised, and other calls are not to be dropped for it.
            room = min(self._tuning.max_length, len(self._queue) + 1)
            self._queue.capacity = max(self._queue.capacity, room)
        offered = self._queue.offer(work)
        if isinstance(offered, Err):
            return offered
        self._works[waiting] = work
        displaced = offered.unwrap()
        if displaced is None:
            return Ok(None)
        del self._works[displaced.item]
        return Ok(displaced.item)

    def leave(self, waiting: WaitingCall) -> None:
        """Remove a call that does not wait any more; one that is not queued is ignored."""
        work = self._works.pop(waiting, None)
        if work is not None:
            self._queue.remove_by_identity({id(work)})

    def release(self, organisation: str) -> None:
        """Count a place of an organisation's call as given back."""
        self._queue.release_slot(organisation)

    def take(
        self, pick: Callable[[WaitingCall, int], Place | None], facts_of: FactsOf, now_s: float
    ) -> tuple[WaitingCall, Place] | None:
        """Remove the next call that gets a place, and return it with its place.

        Args:
            pick: returns a place for a call, if a group with at most the given number of requests
                beyond its slots has one.
            facts_of: facts of the groups.
            now_s: the time.
        """
        self._holds = False
        self._record_free(facts_of(None).free, now_s)
        failed: set[Hashable] = set()
        places: list[Place] = []
        most_urgent, turn = self._queue.most_urgent(), self._queue.turn()

        def fits(work: Work[WaitingCall]) -> bool:
            waiting = work.item
            facts = facts_of(waiting.within)
            if work is not turn and self._is_held(work.urgency, facts_of(None), now_s):
                self._holds = True
                return False
            first = work is turn or work.urgency == most_urgent
            key = (first, work.urgency, waiting.resuming, waiting.within, waiting.tried)
            if key in failed and work is not turn:
                return False
            # Groups that are kept full by a more urgent class have no free slot for another.
            lent = self._max_queued if work is turn else self._lent(work.urgency, facts, now_s)
            place = pick(waiting, self._beyond_slots(work, lent if first else 0))
            if place is None:
                failed.add(key)
                return False
            places.append(place)
            return True

        work = self._queue.dequeue(fits)
        if work is None:
            return None
        del self._works[work.item]
        self.forecast.record_place(work.item.forecast_s, now_s - work.item.entered_s)
        return work.item, places[0]

    def by_class(self) -> Counter[Urgency]:
        """Return how many calls of each class wait."""
        return Counter(work.urgency for work in self._works.values())

    def held_for_s(self, now_s: float) -> float | None:
        """Return when the next place that was left to others may be taken, or None if none was."""
        if not self._holds:
            return None
        left_s = (each + self._tuning.max_hold_s - now_s for each in self._free_since_s)
        return min((each for each in left_s if each > 0.0), default=None)

    def call_forecasts(
        self, facts_of: FactsOf, now_s: float
    ) -> list[tuple[WaitingCall, CallForecast]]:
        """Return what is expected of each call, in the order in which they go.

        Calls that are to be refused do not count as ahead of others.
        """
        all_groups = facts_of(None).groups
        ahead: Counter[frozenset[HallId] | None] = Counter()
        found = []
        older = self._older_of_lowest()
        for work in self._queue.planned():
            waiting = work.item
            facts = facts_of(waiting.within)
            rank = sum(ahead.values())
            if waiting.within is not None:
                part = facts.groups / all_groups if all_groups else 0.0
                before = ahead[waiting.within] + part * ahead[None]
            else:
                before = float(rank)
            wait_s = self._wait_s(work, before, facts, now_s, older.get(waiting))
            if self._becomes_late(waiting, wait_s, now_s):
                self._set_late(work)
            forecast = CallForecast(rank, wait_s, self._refused_in_s(waiting, wait_s, now_s))
            if forecast.refused_in_s >= 0.0:
                ahead[waiting.within] += 1
                if waiting.forecast_s is None:
                    waiting.forecast_s = wait_s
            found.append((waiting, forecast))
        return found

    def last_forecast(self, waiting: WaitingCall, facts: PlaceFacts, now_s: float) -> CallForecast:
        """Return what would be expected of a call behind all that wait."""
        rank = len(self._queue)
        wait_s = self._wait_s(waiting.work(), rank, facts, now_s)
        return CallForecast(rank, wait_s, self._refused_in_s(waiting, wait_s, now_s))

    def return_after_s(
        self,
        waiting: WaitingCall,
        forecast: CallForecast,
        facts: PlaceFacts,
        longest_s: float,
        now_s: float,
    ) -> float:
        """Return after what time a refused caller is told to return, at most ``longest_s``.

        A place that is expected by then is promised to it alone. Otherwise, no place is promised,
        and the time is random, so that callers who are refused together do not return together.
        """
        urgency = waiting.work().urgency
        spare_per_s = self.forecast.spare_places_per_s(urgency, facts, now_s)
        if spare_per_s and not waiting.must_run and math.isfinite(forecast.wait_s):
            at_s = self.promises.first_free_s(now_s + forecast.wait_s, 1.0 / spare_per_s)
            promise = Promise(at_s, urgency, waiting.objective_end_s)
            if at_s - now_s <= longest_s and self.promises.add(waiting.fingerprint, promise, now_s):
                return at_s - now_s
        after_s = longest_s * self._rng.uniform(self._tuning.min_returned_share, 1.0)
        if not waiting.must_run:
            promise = Promise(now_s + after_s, urgency, waiting.objective_end_s, has_place=False)
            self.promises.add(waiting.fingerprint, promise, now_s)
        return after_s

    def _record_free(self, free: int, now_s: float) -> None:
        """Record since when places have been free; the place that was free longest goes first."""
        while len(self._free_since_s) > free:
            self._free_since_s.popleft()
        while len(self._free_since_s) < free:
            self._free_since_s.append(now_s)

    def _is_held(self, urgency: Urgency, facts: PlaceFacts, now_s: float) -> bool:
        """Return whether all free places are left to more urgent calls at other entries.

        Who waits elsewhere has heard of a place that has been free for longer, and would have it.
        """
        if not facts.free or not urgency[0]:
            return False
        since_s = now_s - self._tuning.max_hold_s
        recent = sum(each > since_s for each in self._free_since_s)
        return facts.free <= min(recent, facts.more_urgent_elsewhere(urgency))

    def _capacity(self, facts: PlaceFacts, longest_objective_s: float) -> int:
        """Return how many calls may wait: as many as get a place within the longest objective.

        While there is no group, it stays as it was, or is what a first group takes at once.
        """
        rate_per_s = self.forecast.places_per_s(facts)
        if rate_per_s:
            self._in_time = max(1, math.ceil(rate_per_s * longest_objective_s))
            return min(self._tuning.max_length, self._in_time)
        return min(self._tuning.max_length, max(facts.slots, self._in_time))

    def _capacity_to_run(self) -> int:
        """Return the capacity that takes one more call that must run.

        Such a call cannot be refused, so it needs room even where all that wait must run.
        """
        must_run = sum(work.must_run for work in self._works.values())
        return min(self._tuning.max_length, must_run + 1)

    def _beyond_slots(self, work: Work[WaitingCall], lent: int) -> int:
        """Return how many requests beyond its slots a group may have to get this call."""
        if work.item.resuming:
            return self._max_queued_resuming
        return self._max_queued if work.must_run else lent

    def _lent(self, urgency: Urgency, facts: PlaceFacts, now_s: float) -> int:
        """Return how many requests beyond its slots a group may have to get the first class."""
        if any(each < urgency for each, number in facts.waiting.items() if number):
            return 0
        lent = 0
        while lent < self._max_queued and not self.forecast.more_urgent_expected(
            urgency, lent + 1, facts, now_s
        ):
            lent += 1
        return lent

    def _becomes_late(self, waiting: WaitingCall, wait_s: float, now_s: float) -> bool:
        """Return whether a call is now expected to miss its objective, and must not go first.

        The earliest objective goes first, so under steady excess load it would be one that is
        missed, and all answers would be late.
        """
        if waiting.late or waiting.must_run or waiting.returned or not math.isfinite(wait_s):
            return False
        return now_s + wait_s + self.forecast.first_part_s > waiting.objective_end_s

    def _set_late(self, work: Work[WaitingCall]) -> None:
        work.item.late = True
        late = self._works[work.item] = work.item.work()
        self._queue.replace(work, late)

    def _older_of_lowest(self) -> dict[WaitingCall, int]:
        """Return how many older calls of its class each call of the lowest class has."""
        lowest = max(self._queue.classes(), default=None)
        waiting = [each for each, work in self._works.items() if work.urgency == lowest]
        waiting.sort(key=lambda each: each.entered_s)
        return {each: number for number, each in enumerate(waiting)}

    def _wait_s(
        self,
        work: Work[WaitingCall],
        ahead: float,
        facts: PlaceFacts,
        now_s: float,
        older: int | None = None,
    ) -> float:
        if facts.all_tried(work.item.tried):
            # Places of these groups are for other calls.
            return math.inf
        wait_s = self.forecast.wait_s(ahead, work.urgency, facts, now_s, older)
        if work.returned or not len(self.promises) or not math.isfinite(wait_s):
            return wait_s
        promised = self.promises.count(work.urgency, now_s + wait_s, now_s)
        ahead += promised
        return self.forecast.wait_s(ahead, work.urgency, facts, now_s, older)

    def _refused_in_s(self, waiting: WaitingCall, wait_s: float, now_s: float) -> float:
        """Return in what time a call is to be refused; it is negative once that is due.

        A call that must run waits until its latest time, one for which no place is known to come
        until its patience ends, and any other until its first part would come too late.
        """
        if waiting.must_run:
            return waiting.latest_s - now_s
        if not math.isfinite(wait_s):
            return waiting.entered_s + waiting.patience_s - now_s
        return waiting.latest_s - now_s - wait_s - self.forecast.first_part_s


__all__ = ["CallQueue", "FactsOf"]
