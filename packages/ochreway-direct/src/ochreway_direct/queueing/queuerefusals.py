# SPDX-License-Identifier: Apache-2.0
"""Refusals of waiting calls."""

import math
from collections.abc import Callable

from ochreway_core.ids import HallId
from ochreway_core.reason import Reason
from ochreway_direct.queueing.callforecast import CallForecast
from ochreway_direct.queueing.callqueue import FactsOf
from ochreway_direct.queueing.modelqueue import ModelQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuedcall import QueuedCall
from ochreway_direct.queueing.queuefacts import QueueFacts
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving

Refuse = Callable[[Call, Reason | None, float, float], Exception]
"""Return the error for a call, given its reason if known, its return time and the time."""

CHECK_INTERVAL_S = 0.02
"""Minimum time between two checks of all forecasts of a queue, which bounds their cost."""


class QueueRefusals:
    """End the waiting of calls that are refused, with the return times that their callers get.

    ``CallQueue`` decides which calls are late or displaced, and the return times. Here it is
    decided when forecasts are checked, whether a stall delays refusals, and which calls have only
    closed halls left.
    """

    def __init__(
        self,
        serving: Serving,
        facts: QueueFacts,
        refuse: Refuse,
        tuning: RelayTuning,
        queue_tuning: QueueTuning,
    ) -> None:
        self._serving = serving
        self._facts = facts
        self._refuse = refuse
        self._tuning = tuning
        self._queue_tuning = queue_tuning
        self._lenient_until_s = 0.0

    def record_stall(self, now_s: float) -> None:
        """Refuse no late call for a while, as this process has stalled."""
        self._lenient_until_s = now_s + self._queue_tuning.stall_grace_s

    def refuse_last(
        self, queue: ModelQueue, queued: QueuedCall, reason: Reason, now_s: float
    ) -> None:
        """Refuse a call that found the queue full or was displaced, as the last that waits."""
        facts = self._facts.places(queue, queued.waiting.within, now_s)
        # A full queue is named by what keeps it full, which may be a limit.
        named = None if reason is Reason.QUEUE_FULL else reason
        forecast = queue.queue.last_forecast(queued.waiting, facts, now_s)
        self._refuse_queued(queue, queued, forecast, facts, named, now_s)

    def refuse_closed(self, queue: ModelQueue, now_s: float) -> None:
        """Refuse the calls that could only go to closed halls."""
        closed: dict[frozenset[HallId] | None, bool] = {}
        for queued in list(queue.calls.values()):
            within = queued.waiting.within
            if within not in closed:
                closed[within] = self._serving.fleet.all_halls_closed(
                    queue.service, queue.model, within
                )
            if closed[within] and not queued.waiting.must_run:
                queue.remove(queued.waiting)
                after_s = self._tuning.retry_after_regroup_s
                error = self._refuse(queued.call, Reason.HALL_DRAINED, after_s, now_s)
                queued.future.set_exception(error)

    def refuse_hopeless(self, queue: ModelQueue, facts_of: FactsOf, now_s: float) -> float | None:
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
            if forecast.refused_in_s >= 0.0:
                waits_s.append(forecast.refused_in_s)
            elif lenient_s > 0.0 and queue.calls[waiting].call.left_s(now_s) > 0.0:
                waits_s.append(lenient_s)
            else:
                queued = queue.calls[waiting]
                queue.remove(waiting)
                facts = facts_of(waiting.within)
                self._refuse_queued(queue, queued, forecast, facts, None, now_s)
        return min(waits_s, default=None)

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

    def _lenient_s(self, now_s: float) -> float:
        """Return for how much longer no call is refused, as this process has stalled."""
        grace_s = self._queue_tuning.stall_grace_s
        lag = self._serving.lag
        if lag is not None and lag.stalled_since(now_s - grace_s, now_s) > 0.0:
            return grace_s
        return max(0.0, self._lenient_until_s - now_s)


__all__ = ["CHECK_INTERVAL_S", "QueueRefusals", "Refuse"]
