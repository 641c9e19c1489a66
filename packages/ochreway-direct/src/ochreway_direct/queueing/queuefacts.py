# SPDX-License-Identifier: Apache-2.0
"""The queues of an entry, and the facts that their decisions take."""

import random
from collections.abc import ValuesView

from ochreway_core.ids import HallId
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.modelqueue import ModelQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving


class QueueFacts:
    """Hold the queue of each model, and read what its decisions depend on; decides nothing."""

    def __init__(
        self, serving: Serving, tuning: RelayTuning, rng: random.Random, queue_tuning: QueueTuning
    ) -> None:
        self._serving = serving
        self._tuning = tuning
        self._random = rng
        self._queue_tuning = queue_tuning
        self._queues: dict[tuple[ServiceName, ModelName], ModelQueue] = {}

    @property
    def queues(self) -> ValuesView[ModelQueue]:
        """Return all queues."""
        return self._queues.values()

    def queue_of(self, call: Call) -> ModelQueue:
        """Return the queue of a call's service and model."""
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

    def longest_objective_s(self, queue: ModelQueue) -> float:
        """Return the longest objective of the routes to a queue's service."""
        routes = self._serving.routes
        return routes.longest_objective_s(queue.service) if routes is not None else 0.0

    def places(
        self, queue: ModelQueue, within: frozenset[HallId] | None, now_s: float
    ) -> PlaceFacts:
        """Return the facts of the groups within some halls, or of all."""
        return self._serving.fleet.place_facts(
            queue.service, queue.model, queue.slots, within, now_s
        )

    def describe(self, call: Call, now_s: float) -> WaitingCall:
        """Return a call that begins to wait now, as its queue sees it."""
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


__all__ = ["QueueFacts"]
