# SPDX-License-Identifier: Apache-2.0
"""Tasks that wait for a place, and the events that wake them."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable
from functools import cache

from result import Err

from ochreway_core.ids import HallId
from ochreway_core.reason import Reason
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.queueing.callforecast import CallForecast
from ochreway_direct.queueing.callqueue import CallQueue, FactsOf
from ochreway_direct.queueing.modelqueue import ModelQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuedcall import QueuedCall
from ochreway_direct.queueing.queuereport import QueueReport
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.queueing.waitingcalls import count_waiting
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_runtime.metrics import Metrics

Pick = Callable[[Call, int, float], Attempt | None]
"""Choose a target for a call, given the requests allowed beyond its slots and the time."""
Refuse = Callable[[Call, Reason | None, float, float], Exception]
"""Return the error for a call, given its reason if known, its return time and the time."""

MIN_TIMER_S = 0.005
"""Minimum time to the next check of a queue, so that rounding does not make it spin."""
CHECK_INTERVAL_S = 0.02
"""Minimum time between two checks of all forecasts of a queue, which bounds their cost."""


class CallQueues:
    """Give places to calls in the order of their queue, when an event may have freed one.

    A place is counted as under way at its target from the moment at which it is given, so that no
    other call gets it. The relay sends the call that got a place, or gives the place back.
    """

    def __init__(
        self,
        serving: Serving,
        pick: Pick,
        refuse: Refuse,
        tuning: RelayTuning,
        metrics: Metrics,
        rng: random.Random | None = None,
        queue_tuning: QueueTuning | None = None,
    ) -> None:
        self._serving = serving
        self._fleet = serving.fleet
        self._pick = pick
        self._refuse = refuse
        self._tuning = tuning
        self._metrics = metrics
        self._random = rng or random.Random()
        self._queue_tuning = queue_tuning or QueueTuning()
        self._queues: dict[tuple[ServiceName, ModelName], ModelQueue] = {}
        self._given: dict[Attempt, tuple[CallQueue, WaitingCall]] = {}
        self._wake_planned = False
        self._lenient_until_s = 0.0
        self._fleet.changes.subscribe(lambda _: self.wake())

    def applies_to(self, call: Call) -> bool:
        """Return whether a call waits in a queue, by the configuration in force."""
        routes, model = self._serving.routes, call.terms.model
        return (
            routes is not None
            and call.engine is not None
            and model is not None
            and call.service in routes.ordered_services
            and call.engine.model(model) is not None
        )

    def gauges(self) -> dict[str, float]:
        """Return the number of waiting calls and the mean error of forecasts."""
        errors_s = [each.queue.forecast.error_s for each in self._queues.values()]
        return {
            "queue_length": float(sum(len(each.queue) for each in self._queues.values())),
            "queue_forecast_error_s": max(errors_s, default=0.0),
        }

    def report(self) -> QueueReport:
        """Return what other entries are told of the queues."""
        by_model = [(each.model, each.queue.by_class()) for each in self._queues.values()]
        served_by = Counter(waiting.organisation for _, waiting in self._given.values())
        return QueueReport(count_waiting(by_model), served_by)

    # Calls

    async def place(self, call: Call) -> Attempt:
        """Return a place for a call, counted as under way, once it is this call's turn.

        Raises:
            Refused: if the call is refused; it is not sent any more.
            AnswerBroken: the same for a call whose answer has begun.
        """
        loop = asyncio.get_running_loop()
        while True:
            attempt = await self._wait(call)
            if call.left_s(loop.time()) <= 0.0:
                # The process was suspended after the place was given.
                self.give_back(attempt)
                raise self._refuse(call, Reason.DEADLINE_PASSED, 0.0, loop.time())
            if not self.is_withdrawn(attempt):
                return attempt
            self.give_back(attempt)

    def is_withdrawn(self, attempt: Attempt) -> bool:
        """Return whether the group of a place was lost before the call was sent."""
        if attempt not in self._given or attempt.group is None:
            return False
        return attempt.lost or self._fleet.group(attempt.group) is None

    async def _wait(self, call: Call) -> Attempt:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        queue = self._queue_of(call)
        # Those who wait already come first, also where an event has not been handled yet.
        self._update(queue, now_s)
        queued = QueuedCall(call, self._describe(call, now_s), loop.create_future())
        self._enter(queue, queued, now_s)
        if not queued.future.done():
            self._metrics.count("queue.waited")
        try:
            return await queued.future
        except asyncio.CancelledError:
            self._on_cancelled(queue, queued)
            raise
        finally:
            call.waited_s += loop.time() - now_s

    def give_back(self, attempt: Attempt) -> None:
        """Give back a place whose call is not sent."""
        if attempt in self._given:
            self._fleet.end(attempt, False, asyncio.get_running_loop().time())
            self.on_ended(attempt, None, False)

    def on_ended(self, attempt: Attempt, call: Call | None, answered: bool) -> None:
        """Record the end of an attempt; ``call`` is None if it was not sent."""
        queue, waiting = self._given.pop(attempt, (None, None))
        if queue is None or waiting is None:
            return
        queue.release(waiting.organisation)
        if call is not None and answered:
            now_s = asyncio.get_running_loop().time()
            queue.forecast.record_run(now_s - attempt.begun_s)
            if call.first_part_s is not None and call.first_part_s >= attempt.begun_s:
                queue.forecast.record_first_part(call.first_part_s - attempt.begun_s)

    def wake(self) -> None:
        """Check the queues in this iteration of the event loop, as a place may be free."""
        if not self._wake_planned and any(each.calls for each in self._queues.values()):
            self._wake_planned = True
            asyncio.get_running_loop().call_soon(self._update_all)

    def _on_cancelled(self, queue: ModelQueue, queued: QueuedCall) -> None:
        self._remove(queue, queued.waiting)
        future = queued.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self.give_back(future.result())
        self.wake()

    def _describe(self, call: Call, now_s: float) -> WaitingCall:
        objective_s, tuning = call.route.objective_s, self._tuning
        gain_s = self._queue_tuning.gain_objectives * objective_s
        latest_s = min(call.end_s - tuning.min_time_left_s, call.started_s + gain_s)
        if call.begun:
            latest_s = min(call.end_s, now_s + tuning.resume_max_wait_s)
        return WaitingCall(
            fingerprint=call.fingerprint,
            organisation=call.organisation or "",
            priority=call.priority,
            route_priority=call.route.priority,
            cost_s=0.0 if call.sends else call.work_s,
            entered_s=now_s,
            objective_end_s=call.started_s + objective_s,
            latest_s=latest_s,
            patience_s=objective_s * tuning.max_wait_share,
            first_try=not call.sends,
            resuming=call.answer is not None,
            must_run=call.begun,
            within=call.allowed_halls,
            tried=frozenset(call.tried),
        )

    def _enter(self, queue: ModelQueue, queued: QueuedCall, now_s: float) -> None:
        waiting = queued.waiting
        facts = self._facts(queue, waiting.within, now_s)
        longest_s = self._longest_objective_s(queue)
        offered = queue.queue.offer(waiting, facts, longest_s, now_s)
        if waiting.returned:
            self._metrics.count("queue.returned")
        if isinstance(offered, Err):
            self._refuse_last(queue, queued, offered.unwrap_err(), now_s)
            return
        queue.calls[waiting] = queued
        displaced = offered.unwrap()
        if displaced is not None:
            self._metrics.count("queue.displaced")
            self._refuse_last(queue, queue.calls.pop(displaced), Reason.QUEUE_FULL, now_s)
        self._update(queue, now_s)

    def _refuse_last(
        self, queue: ModelQueue, queued: QueuedCall, reason: Reason, now_s: float
    ) -> None:
        facts = self._facts(queue, queued.waiting.within, now_s)
        # A full queue is named by what keeps it full, which may be a limit.
        named = None if reason is Reason.QUEUE_FULL else reason
        forecast = queue.queue.last_forecast(queued.waiting, facts, now_s)
        self._refuse_queued(queue, queued, forecast, facts, named, now_s)

    def _refuse_queued(
        self,
        queue: ModelQueue,
        queued: QueuedCall,
        forecast: CallForecast,
        facts: PlaceFacts,
        reason: Reason | None,
        now_s: float,
    ) -> None:
        call, future = queued.call, queued.future
        if future.done():
            return
        call.queue_rank, call.forecast_s = forecast.rank, forecast.wait_s
        longest_s = max(0.0, self._tuning.retry_after_share * call.left_s(now_s))
        if not facts.groups:
            longest_s = min(longest_s, self._tuning.retry_after_regroup_s)
        after_s = queue.queue.return_after_s(queued.waiting, forecast, facts, longest_s, now_s)
        future.set_exception(self._refuse(call, reason, after_s, now_s))

    # Events

    def _update_all(self) -> None:
        self._wake_planned = False
        now_s = asyncio.get_running_loop().time()
        for queue in self._queues.values():
            if queue.calls:
                self._update(queue, now_s)

    def _on_timer(self, queue: ModelQueue, due_s: float) -> None:
        queue.timer = None
        now_s = asyncio.get_running_loop().time()
        if now_s - due_s > self._queue_tuning.stall_lag_s:
            self._lenient_until_s = now_s + self._queue_tuning.stall_grace_s
        self._update(queue, now_s)

    def _update(self, queue: ModelQueue, now_s: float) -> None:
        """Give free places away, refuse calls that are expected too late, and set the timer."""

        @cache
        def facts_of(within: frozenset[HallId] | None) -> PlaceFacts:
            return self._facts(queue, within, now_s)

        queue.queue.advance(facts_of(None), now_s)
        if queue.calls:
            self._drop_ended(queue)
            self._give_places(queue, facts_of, now_s)
            self._refuse_closed(queue, now_s)
        held_s = queue.queue.held_for_s(now_s)
        next_s = self._refuse_hopeless(queue, facts_of, now_s)
        if held_s is not None:
            next_s = held_s if next_s is None else min(next_s, held_s)
        if queue.timer is not None:
            queue.timer.cancel()
            queue.timer = None
        if queue.calls and next_s is not None:
            due_s = now_s + max(MIN_TIMER_S, next_s)
            queue.timer = asyncio.get_running_loop().call_at(due_s, self._on_timer, queue, due_s)

    def _drop_ended(self, queue: ModelQueue) -> None:
        """Remove calls whose task was cancelled and has not run since."""
        for queued in list(queue.calls.values()):
            if queued.future.done():
                self._remove(queue, queued.waiting)

    def _remove(self, queue: ModelQueue, waiting: WaitingCall) -> None:
        queue.calls.pop(waiting, None)
        queue.queue.leave(waiting)

    def _give_places(self, queue: ModelQueue, facts_of: FactsOf, now_s: float) -> None:
        def pick(waiting: WaitingCall, max_queued: int) -> Attempt | None:
            return self._pick(queue.calls[waiting].call, max_queued, now_s)

        while (taken := queue.queue.take(pick, facts_of, now_s)) is not None:
            waiting, attempt = taken
            self._fleet.begin(attempt)
            self._given[attempt] = (queue.queue, waiting)
            queue.calls.pop(waiting).future.set_result(attempt)

    def _refuse_closed(self, queue: ModelQueue, now_s: float) -> None:
        """Refuse the calls that could only go to closed halls."""
        closed: dict[frozenset[HallId] | None, bool] = {}
        for queued in list(queue.calls.values()):
            within = queued.waiting.within
            if within not in closed:
                closed[within] = self._fleet.all_halls_closed(queue.service, queue.model, within)
            if closed[within] and not queued.waiting.must_run:
                self._remove(queue, queued.waiting)
                after_s = self._tuning.retry_after_regroup_s
                error = self._refuse(queued.call, Reason.HALL_DRAINED, after_s, now_s)
                queued.future.set_exception(error)

    def _refuse_hopeless(self, queue: ModelQueue, facts_of: FactsOf, now_s: float) -> float | None:
        """Refuse calls that are expected to be served too late; return when to check again.

        After a stall of this process, answers that free places may not have been read yet.
        """
        if not queue.calls:
            return None
        if now_s < queue.checked_s + CHECK_INTERVAL_S:
            return queue.checked_s + CHECK_INTERVAL_S - now_s
        queue.checked_s = now_s
        lenient_s = self._lenient_s(now_s)
        windows_s = {facts_of(each.within).next_window_s for each in queue.calls}
        waits_s = [each for each in windows_s if each < math.inf]
        for waiting, forecast in queue.queue.call_forecasts(facts_of, now_s):
            if forecast.spare_s >= 0.0:
                waits_s.append(forecast.spare_s)
            elif lenient_s > 0.0 and queue.calls[waiting].call.left_s(now_s) > 0.0:
                waits_s.append(lenient_s)
            else:
                queued = queue.calls[waiting]
                self._remove(queue, waiting)
                facts = facts_of(waiting.within)
                self._refuse_queued(queue, queued, forecast, facts, None, now_s)
        return min(waits_s, default=None)

    def _lenient_s(self, now_s: float) -> float:
        """Return for how much longer no call is refused, as this process has stalled."""
        grace_s = self._queue_tuning.stall_grace_s
        lag = self._serving.lag
        if lag is not None and lag.stalled_since(now_s - grace_s, now_s) > 0.0:
            return grace_s
        return max(0.0, self._lenient_until_s - now_s)

    # Facts

    def _queue_of(self, call: Call) -> ModelQueue:
        assert call.engine is not None and call.terms.model is not None
        key = (call.service, call.terms.model)
        queue = self._queues.get(key)
        if queue is None:
            tuning = self._tuning
            decisions = CallQueue(
                call.engine,
                tuning.max_queued,
                tuning.max_queued_resuming,
                self._random,
                self._queue_tuning,
            )
            queue = self._queues[key] = ModelQueue(*key, call.engine.slots, decisions)
        queue.slots = call.engine.slots
        return queue

    def _longest_objective_s(self, queue: ModelQueue) -> float:
        routes = self._serving.routes
        return routes.longest_objective_s(queue.service) if routes is not None else 0.0

    def _facts(
        self, queue: ModelQueue, within: frozenset[HallId] | None, now_s: float
    ) -> PlaceFacts:
        return self._fleet.place_facts(queue.service, queue.model, queue.slots, within, now_s)


__all__ = ["CallQueues"]
