# SPDX-License-Identifier: Apache-2.0
"""Tasks that wait for a place."""

import asyncio
import random

from result import Err

from ochreway_core.reason import Reason
from ochreway_direct.queueing.givenplaces import GivenPlaces
from ochreway_direct.queueing.modelqueue import ModelQueue
from ochreway_direct.queueing.queuedcall import QueuedCall
from ochreway_direct.queueing.queuefacts import QueueFacts
from ochreway_direct.queueing.queuerefusals import QueueRefusals, Refuse
from ochreway_direct.queueing.queuereport import QueueReport
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.queueupdates import Pick, QueueUpdates
from ochreway_direct.queueing.waitingcalls import count_waiting
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_runtime.metrics import Metrics


class CallQueues:
    """Let the tasks of calls wait until their queue gives them a place or refuses them.

    A place is counted as under way at its target from the moment at which it is given, so that no
    other call gets it. The relay sends the call that got a place, or gives the place back.

    ``CallQueue`` decides who goes next and who is refused, ``QueueUpdates`` when that is checked,
    and ``QueueRefusals`` ends the waiting of who is refused.
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
        queue_tuning = queue_tuning or QueueTuning()
        self._serving = serving
        self._refuse = refuse
        self._metrics = metrics
        self._facts = QueueFacts(serving, tuning, rng or random.Random(), queue_tuning)
        self._given = GivenPlaces(serving.fleet)
        self._refusals = QueueRefusals(serving, self._facts, refuse, tuning, queue_tuning)
        self._updates = QueueUpdates(self._facts, self._given, self._refusals, pick, queue_tuning)
        serving.fleet.changes.subscribe(lambda _: self.wake())

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
        """Return the number of waiting calls and the largest mean error of their forecasts."""
        errors_s = [each.queue.forecast.error_s for each in self._facts.queues]
        return {
            "queue_length": float(sum(len(each.queue) for each in self._facts.queues)),
            "queue_forecast_error_s": max(errors_s, default=0.0),
        }

    def report(self) -> QueueReport:
        """Return what other entries are told of the queues."""
        by_model = [(each.model, each.queue.by_class()) for each in self._facts.queues]
        return QueueReport(count_waiting(by_model), self._given.served_by())

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
        return self._given.is_withdrawn(attempt)

    def give_back(self, attempt: Attempt) -> None:
        """Give back a place whose call is not sent."""
        self._given.give_back(attempt)

    def on_ended(self, attempt: Attempt, call: Call | None, answered: bool) -> None:
        """Record the end of an attempt; ``call`` is None if it was not sent."""
        self._given.on_ended(attempt, call, answered)

    def wake(self) -> None:
        """Check the queues in this iteration of the event loop, as a place may be free."""
        self._updates.wake()

    async def _wait(self, call: Call) -> Attempt:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        queue = self._facts.queue_of(call)
        # Those who wait already come first, also where an event has not been handled yet.
        self._updates.update(queue, now_s)
        queued = QueuedCall(call, self._facts.describe(call, now_s), loop.create_future())
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

    def _on_cancelled(self, queue: ModelQueue, queued: QueuedCall) -> None:
        queue.remove(queued.waiting)
        future = queued.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self.give_back(future.result())
        self.wake()

    def _enter(self, queue: ModelQueue, queued: QueuedCall, now_s: float) -> None:
        waiting = queued.waiting
        facts = self._facts.places(queue, waiting.within, now_s)
        longest_s = self._facts.longest_objective_s(queue)
        offered = queue.queue.offer(waiting, facts, longest_s, now_s)
        if waiting.returned:
            self._metrics.count("queue.returned")
        if isinstance(offered, Err):
            self._refusals.refuse_last(queue, queued, offered.unwrap_err(), now_s)
            return
        queue.calls[waiting] = queued
        displaced = offered.unwrap()
        if displaced is not None:
            self._metrics.count("queue.displaced")
            self._refusals.refuse_last(queue, queue.calls.pop(displaced), Reason.QUEUE_FULL, now_s)
        self._updates.update(queue, now_s)


__all__ = ["CallQueues"]
