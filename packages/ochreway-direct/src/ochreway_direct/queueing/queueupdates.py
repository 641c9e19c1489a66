# SPDX-License-Identifier: Apache-2.0
"""Events upon which queues are checked."""

import asyncio
from collections.abc import Callable
from functools import cache

from ochreway_core.ids import HallId
from ochreway_direct.queueing.callqueue import FactsOf
from ochreway_direct.queueing.givenplaces import GivenPlaces
from ochreway_direct.queueing.modelqueue import ModelQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuefacts import QueueFacts
from ochreway_direct.queueing.queuerefusals import QueueRefusals
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call

Pick = Callable[[Call, int, float], Attempt | None]
"""Choose a target for a call, given the requests allowed beyond its slots and the time."""

MIN_TIMER_S = 0.005
"""Minimum time to the next check of a queue, so that rounding does not make it spin."""


class QueueUpdates:
    """Check queues when a place may be free or a time has come, and hand places to their tasks.

    ``CallQueue`` decides which call goes next, ``pick`` decides where it goes.
    """

    def __init__(
        self,
        facts: QueueFacts,
        given: GivenPlaces,
        refusals: QueueRefusals,
        pick: Pick,
        queue_tuning: QueueTuning,
    ) -> None:
        self._facts = facts
        self._given = given
        self._refusals = refusals
        self._pick = pick
        self._queue_tuning = queue_tuning
        self._wake_planned = False

    def wake(self) -> None:
        """Check the queues in this iteration of the event loop, as a place may be free."""
        if not self._wake_planned and any(each.calls for each in self._facts.queues):
            self._wake_planned = True
            asyncio.get_running_loop().call_soon(self.update_all)

    def update_all(self) -> None:
        """Check all queues in which calls wait."""
        self._wake_planned = False
        now_s = asyncio.get_running_loop().time()
        for queue in self._facts.queues:
            if queue.calls:
                self.update(queue, now_s)

    def update(self, queue: ModelQueue, now_s: float) -> None:
        """Give free places away, refuse calls that are expected too late, and set the timer."""

        @cache
        def facts_of(within: frozenset[HallId] | None) -> PlaceFacts:
            return self._facts.places(queue, within, now_s)

        queue.queue.advance(facts_of(None), now_s)
        if queue.calls:
            queue.drop_ended()
            self._give_places(queue, facts_of, now_s)
            self._refusals.refuse_closed(queue, now_s)
        held_s = queue.queue.held_for_s(now_s)
        next_s = self._refusals.refuse_hopeless(queue, facts_of, now_s)
        if held_s is not None:
            next_s = held_s if next_s is None else min(next_s, held_s)
        if queue.timer is not None:
            queue.timer.cancel()
            queue.timer = None
        if queue.calls and next_s is not None:
            due_s = now_s + max(MIN_TIMER_S, next_s)
            queue.timer = asyncio.get_running_loop().call_at(due_s, self._on_timer, queue, due_s)

    def _on_timer(self, queue: ModelQueue, due_s: float) -> None:
        queue.timer = None
        now_s = asyncio.get_running_loop().time()
        if now_s - due_s > self._queue_tuning.stall_lag_s:
            self._refusals.record_stall(now_s)
        self.update(queue, now_s)

    def _give_places(self, queue: ModelQueue, facts_of: FactsOf, now_s: float) -> None:
        def pick(waiting: WaitingCall, max_queued: int) -> Attempt | None:
            return self._pick(queue.calls[waiting].call, max_queued, now_s)

        while (taken := queue.queue.take(pick, facts_of, now_s)) is not None:
            waiting, attempt = taken
            self._given.add(attempt, queue.queue, waiting)
            queue.calls.pop(waiting).future.set_result(attempt)


__all__ = ["MIN_TIMER_S", "Pick", "QueueUpdates"]
