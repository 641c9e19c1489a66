# SPDX-License-Identifier: Apache-2.0
"""The way of a request: admitted, sent, sent again where that is allowed, answered."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from ochreway_core.ids import GroupId
from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.demandmeter import DemandMeter
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.ports.dialect import CallerDialect, CallerTerms
from ochreway_direct.relay.admission import Admission
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.calllog import CallLog
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import AnswerBroken, CallerGone, Refused
from ochreway_direct.relay.exchange import HEAD_BYTES, Exchange
from ochreway_direct.relay.refusal import NOT_RUN_STATUS, refusal_of
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_routing.retrybudget import RetryBudget
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


class Relay:
    """Answer callers' requests from targets."""

    def __init__(
        self,
        serving: Serving,
        dialect: CallerDialect,
        kept: aiohttp.ClientSession,
        single: aiohttp.ClientSession,
        meter: DemandMeter,
        tuning: RelayTuning,
        budget: RetryBudget,
        suspect: Callable[[GroupId], None],
        crashes: CrashWatch,
        notices: NoticeWatch,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start with the parts given; ``suspect`` is told of a group whose leader broke off."""
        self._serving = serving
        self._fleet = serving.fleet
        self._dialect = dialect
        self._admission = Admission(serving, meter, tuning)
        self._exchange = Exchange(serving, dialect, kept, single, tuning, notices)
        self._tuning = tuning
        self._calls = CallLog(log, serving)
        self._metrics = metrics
        self._budget = budget
        self._suspect = suspect
        self._crashes = crashes
        self.open_calls = 0
        self.taken_calls = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.open_calls += 1
        self.taken_calls += 1
        try:
            return await self._answer(request)
        finally:
            self.open_calls -= 1

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        terms = self._dialect.read(request.headers)
        call: Call | None = None
        try:
            call = await self._admission.admit(request, terms)
            self._check_fatal(call)
            self._budget.requested()
            self._serving.asked += 1
            answer = await self._run(call)
            self._calls.answered(call, answer.status)
            return answer
        except Refused as refused:
            self._metrics.count(f"refused.{refused.reason.value}")
            self._calls.refused(terms.request, call, refused)
            return self._refusal(terms, refused)
        except AnswerBroken as broken:
            self._metrics.count(f"broken.{broken.reason.value}")
            self._calls.broken(call, terms.request, broken)
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from broken
        except (CallerGone, asyncio.CancelledError) as gone:
            self._metrics.count(f"refused.{Reason.CALLER_GONE.value}")
            raise asyncio.CancelledError from gone

    def _refusal(self, terms: CallerTerms, refused: Refused) -> web.Response:
        headers = self._dialect.refusal(terms.request, refused.retry_after_s)
        answer = web.Response(
            status=refused.status, headers=headers, text=refused.reason.value + "\n"
        )
        if self._serving.stopping or refused.reason is Reason.CONNECTIONS_FULL:
            answer.force_close()
        self._serving.sent_bytes += HEAD_BYTES
        return answer

    def _give_up(self, call: Call, reason: Reason, after_s: float) -> Refused | AnswerBroken:
        left_s = call.left_s(asyncio.get_running_loop().time())
        return refusal_of(call, reason, min(after_s, self._tuning.retry_after_share * left_s))

    # Sending.

    async def _run(self, call: Call) -> web.StreamResponse:
        """Send a call until it is answered or may not be sent again."""
        while True:
            attempt = await self._place(call)
            begun_s = asyncio.get_running_loop().time()
            ending = await self._send(call, attempt)
            if ending.response is not None:
                self._crashes.finished(call)
                return ending.response
            self._calls.attempt_failed(call, attempt, ending, begun_s)
            self._metrics.count(f"attempt.{ending.reason.value}")
            if ending.outcome is not Outcome.NOT_RUN:
                call.runs += 1
            if ending.broke and attempt.group is not None:
                self._suspect(attempt.group)
            call.tried.add(attempt.instance)
            if ending.cut:
                await self._crashes.broke_off(call, attempt)
            await self._check_again(call, ending)
            self._metrics.count(f"retry.{ending.reason.value}")

    def _check_fatal(self, call: Call) -> None:
        """Raise if targets ended under what a call asks for, so that it is sent no more.

        A caller who has had no part is told how long that is certain to last: so long no try
        will be served, at any entry.
        """
        left_s = self._crashes.fatal_for_s(call)
        if left_s <= 0.0:
            return
        if call.begun:
            raise refusal_of(call, Reason.ENDS_TARGETS, left_s)
        raise Refused(NOT_RUN_STATUS, Reason.ENDS_TARGETS, left_s)

    async def _check_again(self, call: Call, ending: Ending) -> None:
        """Raise unless the call may be sent once more."""
        now_s = asyncio.get_running_loop().time()
        left_s = call.left_s(now_s)
        ran = ending.outcome is Outcome.UNKNOWN
        allowed = (
            (call.route.repeatable or not ran)
            and call.runs < call.route.attempts_at_most
            and call.sends < call.route.attempts_at_most + self._tuning.sends_more
            and left_s > self._tuning.least_left_s
        )
        if allowed and self._budget.spend():
            return
        reason = Reason.DEADLINE_PASSED if left_s <= 0 else ending.reason
        asked_s = self._asked_s(call, now_s)
        if asked_s > self._tuning.retry_after_s:
            raise refusal_of(call, reason, asked_s)
        raise self._give_up(call, reason, self._tuning.retry_after_s)

    async def _place(self, call: Call) -> Attempt:
        """Choose where to send a call, waiting a little while nothing can take it."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        until_s = min(begun_s + self._patience_s(call), call.end_s)
        while True:
            # One time for all of a look: a place that is free a moment later would else be taken
            # for one that is full.
            now_s = loop.time()
            found = self._pick(call, now_s)
            if found is not None:
                call.waited_s += now_s - begun_s
                return found
            if not call.begun and self._all_closed(call):
                raise self._give_up(call, Reason.HALL_DRAINED, self._tuning.regroup_after_s)
            if now_s + self._asked_s(call, now_s) >= until_s:
                call.waited_s += now_s - begun_s
                raise self._without_place(call, now_s)
            await asyncio.sleep(self._tuning.place_poll_s)

    def _without_place(self, call: Call, now_s: float) -> Refused | AnswerBroken:
        """Return how to end a call that found no place, by what would have to change."""
        model, after_s = call.terms.model, self._tuning.regroup_after_s
        asked_s = self._asked_s(call, now_s)
        if asked_s > 0.0:
            # The whole time: told less, a caller would come back to be refused once more.
            return refusal_of(call, self._asked_for(call, now_s), asked_s)
        wait_s = self._fleet.send_wait_s(call.service, model, call.within, now_s)
        if wait_s > 0.0:
            return self._give_up(call, Reason.SEND_LIMIT, min(wait_s, after_s))
        full = self._fleet.has_group(call.service, model, call.within)
        return self._give_up(call, Reason.QUEUE_FULL if full else Reason.NO_GROUP, after_s)

    def _asked_s(self, call: Call, now_s: float) -> float:
        """Return how soon the first place takes requests again; 0 if one does, or there is none."""
        return self._fleet.requested_wait_s(call.service, call.terms.model, call.within, now_s)

    def _asked_for(self, call: Call, now_s: float) -> Reason:
        """Return what places asked for that take no request now."""
        service, model = call.service, call.terms.model
        alone = self._fleet.all_backed_off(service, model, call.within, now_s)
        return Reason.BACKOFF if alone else Reason.TARGET_LIMIT

    def _all_closed(self, call: Call) -> bool:
        return self._fleet.all_halls_closed(call.service, call.terms.model, call.within)

    def _patience_s(self, call: Call) -> float:
        if call.begun:
            return self._tuning.resume_patience_s
        return call.route.objective_s * self._tuning.patience_share

    def _queued_at_most(self, call: Call) -> int:
        tuning = self._tuning
        begun = call.answer is not None
        return tuning.resuming_queued_at_most if begun else tuning.queued_at_most

    def _pick(self, call: Call, now_s: float) -> Attempt | None:
        if call.engine is not None:
            group = self._fleet.pick_group(
                call.service,
                call.terms.model,
                call.tried,
                call.engine,
                self._queued_at_most(call),
                call.terms.prompt_tokens,
                call.within,
                now_s,
            )
            if group is None:
                return None
            return Attempt(
                *(group.leader, group.address, group.hall, group.group),
                prompt_tokens=call.terms.prompt_tokens,
                begun_s=now_s,
                last=call.last_run,
                group=group.group,
                epoch=group.epoch,
                pace=group.pace,
                load=self._fleet.load(group.group),
                born_ms=group.born_ms,
            )
        target = self._fleet.pick_target(call.service, call.tried, call.within, now_s)
        if target is None and call.tried and not self._fleet.has_serving_group(call.service):
            target = self._fleet.pick_target(call.service, (), call.within, now_s)
        if target is None:
            return None
        place = target.instance
        return Attempt(
            *(target.instance, target.address, target.hall, place),
            begun_s=now_s,
            born_ms=target.born_ms,
        )

    async def _key_holds(self) -> bool:
        """Tell whether the key that a call was admitted by may still be trusted."""
        version = self._serving.version
        return await self._serving.keys_proved() and self._serving.version == version

    async def _send(self, call: Call, attempt: Attempt) -> Ending:
        if call.organisation is not None and not await self._key_holds():
            raise self._give_up(call, Reason.STALE_VERSION, self._tuning.regroup_after_s)
        self._check_fatal(call)
        call.sends += 1
        call.target = attempt.instance
        self._fleet.begin(attempt)
        ending = Ending(Outcome.UNKNOWN, Reason.CALLER_GONE)
        try:
            ending = await self._exchange.send(call, attempt)
            return ending
        finally:
            self._fleet.end(attempt, ending.failed, asyncio.get_running_loop().time())


__all__ = ["Relay"]
