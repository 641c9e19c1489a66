# SPDX-License-Identifier: Apache-2.0
"""Relay of requests: admission, sending, retries and answers."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from ochreway_core.ids import GroupId
from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_direct.buffering.buffers import Buffers
from ochreway_direct.buffering.holding import Holding
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.delivery.deliveries import Deliveries
from ochreway_direct.delivery.delivery import Delivery
from ochreway_direct.demand.firsttries import FirstTries
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.ports.dialect import CallerDialect, CallerTerms
from ochreway_direct.queueing.callqueues import CallQueues
from ochreway_direct.relay.admission import Admission
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.callerprotocol import CallerProtocol
from ochreway_direct.relay.calllog import CallLog
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import AnswerBroken, CallerGone, Refused
from ochreway_direct.relay.exchange import HEADERS_OVERHEAD_BYTES, Exchange
from ochreway_direct.relay.failovers import Failovers
from ochreway_direct.relay.refusal import NOT_RUN_STATUS, refusal_of
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_routing.retrybudget import RetryBudget
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


class Relay:
    """Relay callers' requests to targets."""

    def __init__(
        self,
        serving: Serving,
        dialect: CallerDialect,
        pooled: aiohttp.ClientSession,
        single_use: aiohttp.ClientSession,
        first_tries: FirstTries,
        tuning: RelayTuning,
        budget: RetryBudget,
        suspect: Callable[[GroupId], None],
        crashes: CrashWatch,
        notices: NoticeWatch,
        log: EventLog,
        metrics: Metrics,
        buffers: Buffers | None = None,
    ) -> None:
        """Create a relay; ``suspect`` is called with each group whose leader lost contact.

        Without ``buffers``, what is held for callers is not bounded.
        """
        self._serving = serving
        self._first_tries = first_tries
        self._fleet = serving.fleet
        self._dialect = dialect
        self._admission = Admission(serving, first_tries, tuning)
        self._buffers = buffers
        self._tuning = tuning
        self._call_log = CallLog(log, serving)
        self.deliveries = Deliveries(serving, dialect, self._call_log, metrics)
        self._metrics = metrics
        self._budget = budget
        self._suspect = suspect
        self._crashes = crashes
        self.queues = CallQueues(serving, self._pick_candidate, self._queue_error, tuning, metrics)
        self._failovers = Failovers(
            *(serving.fleet, self.queues, budget, self._pick_next, self._may_repeat),
            *(suspect, self._call_log, self._send, self._record_failure),
        )
        self._exchange = Exchange(
            *(serving, dialect, pooled, single_use, tuning, self._failovers, notices, buffers),
            on_sound=crashes.on_sound,
        )
        self.open_calls = 0
        self.accepted_calls = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.open_calls += 1
        self.accepted_calls += 1
        delivery = self.deliveries.begin(request, self._dialect.read(request.headers))
        if isinstance(request.protocol, CallerProtocol):
            request.protocol.begin(delivery)
        try:
            if self._buffers is None:
                return await self._answer(request, delivery)
            with self._buffers.request_holding() as holding:
                return await self._answer(request, delivery, holding)
        finally:
            self.open_calls -= 1
            if delivery.call is not None:
                delivery.call.body = b""

    async def _answer(
        self, request: web.BaseRequest, delivery: Delivery, holding: Holding | None = None
    ) -> web.StreamResponse:
        terms = delivery.terms
        call: Call | None = None
        try:
            call = await self._admission.admit(request, terms, holding)
            delivery.call = call
            self._check_fatal(call, is_sent_now=False)
            self._budget.earn()
            self._serving.admitted += 1
            answer = await self._run(call)
            self._call_log.answered(call, answer.status)
            return answer
        except Refused as refused:
            return self._refuse(delivery, refused)
        except AnswerBroken as broken:
            self._break_off(delivery, broken.reason)
            raise asyncio.CancelledError from broken
        except (CallerGone, asyncio.CancelledError) as error:
            self._metrics.count(f"refused.{Reason.CALLER_GONE.value}")
            # A caller that closed its connection was reported by the connection.
            cut_by_stop = not isinstance(error, CallerGone) and self._serving.stopping
            reason = Reason.STOPPING if cut_by_stop else Reason.CALLER_GONE
            self.deliveries.break_off(delivery, reason)
            raise asyncio.CancelledError from error
        except Exception as error:
            return self._on_unexpected(delivery, error)

    def _refuse(self, delivery: Delivery, refused: Refused) -> web.Response:
        call, terms = delivery.call, delivery.terms
        self._metrics.count(f"refused.{refused.reason.value}")
        self._count_for_route(call, refused.reason)
        self._call_log.refused(terms.request, call, refused)
        if call is not None and refused.status == NOT_RUN_STATUS:
            self._expect_return(call)
        return self._refusal(terms, refused)

    def _break_off(self, delivery: Delivery, reason: Reason) -> None:
        """Abort a caller's connection, so that its answer visibly breaks off."""
        self._count_for_route(delivery.call, reason)
        self.deliveries.break_off(delivery, reason)
        if delivery.request.transport is not None:
            delivery.request.transport.abort()

    def _on_unexpected(self, delivery: Delivery, error: Exception) -> web.Response:
        """Log an error that no part handles, and refuse the call or break off its answer."""
        self._call_log.failed(delivery.terms.request, error)
        call = delivery.call
        if call is None:
            return self._refuse(delivery, Refused(NOT_RUN_STATUS, Reason.INVARIANT))
        if call.sends:
            call.runs += 1  # Its target may run it, as the attempt did not come to an end.
        given_up = refusal_of(call, Reason.INVARIANT, self._tuning.retry_after_s)
        if isinstance(given_up, Refused):
            return self._refuse(delivery, given_up)
        self._break_off(delivery, Reason.INVARIANT)
        raise asyncio.CancelledError from error

    def _count_for_route(self, call: Call | None, reason: Reason) -> None:
        """Count a refusal or broken answer for its route, if the call was admitted."""
        if call is not None:
            self._metrics.count(f"route_refused.{call.route.name}.{reason.value}")

    def _expect_return(self, call: Call) -> None:
        """Record the refusal of a call whose work was counted, as its caller may return."""
        if call.work_s > 0.0:
            now_s = asyncio.get_running_loop().time()
            self._first_tries.record_refusal(call.fingerprint, call.left_s(now_s), now_s)

    def _refusal(self, terms: CallerTerms, refused: Refused) -> web.Response:
        headers = self._dialect.refusal(terms.request, refused.retry_after_s)
        answer = web.Response(
            status=refused.status, headers=headers, text=refused.reason.value + "\n"
        )
        if self._serving.stopping or refused.reason is Reason.CONNECTIONS_FULL:
            answer.force_close()
        self._serving.sent_bytes += HEADERS_OVERHEAD_BYTES
        return answer

    def _give_up(self, call: Call, reason: Reason, after_s: float) -> Refused | AnswerBroken:
        left_s = call.left_s(asyncio.get_running_loop().time())
        return refusal_of(call, reason, min(after_s, self._tuning.retry_after_share * left_s))

    # Sending

    async def _run(self, call: Call) -> web.StreamResponse:
        """Send a call until it is answered or may not be sent again."""
        try:
            return await self._send_until_answered(call)
        finally:
            self._failovers.cancel(call)

    async def _send_until_answered(self, call: Call) -> web.StreamResponse:
        while True:
            if call.takeover is not None:
                begun_s, takeover = asyncio.get_running_loop().time(), call.takeover
                attempt = takeover.attempt
                ending = await self._failovers.proceed(call, takeover)
            else:
                attempt = await self._choose_candidate(call)
                begun_s = asyncio.get_running_loop().time()
                ending = await self._send(call, attempt)
            if call.next_place is not None:
                call.next_place.cancel()
            if ending.response is not None:
                self._crashes.on_sound(call, attempt)
                return ending.response
            await self._record_failure(call, attempt, ending, begun_s)
            await self._check_retry(call, ending)
            self._metrics.count(f"retry.{ending.reason.value}")

    async def _record_failure(
        self, call: Call, attempt: Attempt, ending: Ending, begun_s: float
    ) -> None:
        """Record an attempt that did not answer the call."""
        self._call_log.attempt_failed(call, attempt, ending, begun_s)
        self._metrics.count(f"attempt.{ending.reason.value}")
        if ending.outcome is not Outcome.NOT_RUN:
            call.runs += 1
        if ending.lost_contact and attempt.group is not None:
            self._suspect(attempt.group)
        call.tried.add(attempt.instance)
        if ending.disconnected:
            await self._crashes.on_disconnected(call, attempt)

    def _check_fatal(self, call: Call, is_sent_now: bool = True) -> None:
        """Raise if a call is known to end its targets, so that it is not sent any more.

        If the caller has not received any part, the refusal names how long this certainly
        lasts: until then no entry will serve a retry.
        """
        verdict = self._crashes.check(call, is_sent_now)
        if verdict.fatal_for_s <= 0.0:
            return
        if call.begun:
            raise refusal_of(call, verdict.reason, verdict.fatal_for_s)
        raise Refused(NOT_RUN_STATUS, verdict.reason, verdict.fatal_for_s)

    async def _check_retry(self, call: Call, ending: Ending) -> None:
        """Raise unless the call may be sent again."""
        if call.takeover is not None:
            return
        now_s = asyncio.get_running_loop().time()
        allowed = (
            ending.reason is not Reason.MEMORY_FULL
            and (call.route.repeatable or ending.outcome is not Outcome.UNKNOWN)
            and self._attempts_left(call, call.runs, now_s)
        )
        if allowed and self._budget.spend():
            return
        reason = Reason.DEADLINE_PASSED if call.left_s(now_s) <= 0 else ending.reason
        requested_s = self._candidate_wait_s(call, now_s)
        if requested_s > self._tuning.retry_after_s:
            raise refusal_of(call, reason, requested_s)
        raise self._give_up(call, reason, self._tuning.retry_after_s)

    def _may_repeat(self, call: Call) -> bool:
        """Return whether a call may be sent again if its attempt under way counts as a run."""
        if call.organisation is not None and not self._serving.keys_trusted():
            return False
        now_s = asyncio.get_running_loop().time()
        return self._attempts_left(call, call.runs + 1, now_s)

    def _pick_next(self, call: Call) -> Attempt | None:
        now_s = asyncio.get_running_loop().time()
        return self._pick_candidate(call, self._max_queued(call), now_s)

    def _attempts_left(self, call: Call, runs: int, now_s: float) -> bool:
        """Return whether a call that targets ran ``runs`` times may be sent again."""
        return (
            runs < call.route.attempts_at_most
            and call.sends < call.route.attempts_at_most + self._tuning.max_extra_sends
            and call.left_s(now_s) > self._tuning.min_time_left_s
        )

    async def _choose_candidate(self, call: Call) -> Attempt:
        """Choose where to send a call, waiting while no target can take it."""
        if self.queues.applies_to(call):
            return await self.queues.place(call)
        return await self._poll_candidate(call)

    async def _poll_candidate(self, call: Call) -> Attempt:
        """Choose where to send a call, waiting briefly while no target can take it."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        until_s = min(begun_s + self._max_wait_s(call), call.end_s)
        while True:
            # One time for the whole check: otherwise a target that becomes free during it would
            # be reported as full.
            now_s = loop.time()
            chosen = self._pick_candidate(call, self._max_queued(call), now_s)
            if chosen is not None:
                call.waited_s += now_s - begun_s
                return chosen
            if not call.begun and self._all_closed(call):
                raise self._give_up(call, Reason.HALL_DRAINED, self._tuning.retry_after_regroup_s)
            if now_s + self._candidate_wait_s(call, now_s) >= until_s:
                call.waited_s += now_s - begun_s
                raise self._no_candidate_error(call, now_s)
            await asyncio.sleep(self._tuning.candidate_poll_interval_s)

    def _no_candidate_error(self, call: Call, now_s: float) -> Refused | AnswerBroken:
        """Return the error for a call that no target can take, by what would have to change."""
        model, after_s = call.terms.model, self._tuning.retry_after_regroup_s
        requested_s = self._candidate_wait_s(call, now_s)
        if requested_s > 0.0:
            # The full time: after a shorter one the caller would only be refused again.
            return refusal_of(call, self._wait_reason(call, now_s), requested_s)
        wait_s = self._fleet.send_wait_s(call.service, model, call.allowed_halls, now_s)
        if wait_s > 0.0:
            return self._give_up(call, Reason.SEND_LIMIT, min(wait_s, after_s))
        return self._give_up(call, self._occupied_reason(call), after_s)

    def _queue_error(
        self, call: Call, reason: Reason | None, after_s: float, now_s: float
    ) -> Refused | AnswerBroken:
        """Return the error for a call that its queue refuses.

        Without a reason, it is the one that a call which polls would be refused for.
        """
        requested_s = self._candidate_wait_s(call, now_s)
        if reason is None and requested_s > after_s:
            return refusal_of(call, self._wait_reason(call, now_s), requested_s)
        return self._give_up(call, reason or self._full_reason(call, now_s), after_s)

    def _full_reason(self, call: Call, now_s: float) -> Reason:
        """Return why no target has a place for a call."""
        model = call.terms.model
        if self._candidate_wait_s(call, now_s) > 0.0:
            return self._wait_reason(call, now_s)
        if self._fleet.send_wait_s(call.service, model, call.allowed_halls, now_s) > 0.0:
            return Reason.SEND_LIMIT
        return self._occupied_reason(call)

    def _occupied_reason(self, call: Call) -> Reason:
        """Return why no place is free where no limit applies: groups are full, or there is none."""
        full = self._fleet.has_group(call.service, call.terms.model, call.allowed_halls)
        return Reason.QUEUE_FULL if full else Reason.NO_GROUP

    def _candidate_wait_s(self, call: Call, now_s: float) -> float:
        """Return how soon a target takes requests again; 0 if one does now, or there is none."""
        return self._fleet.requested_wait_s(
            call.service, call.terms.model, call.allowed_halls, now_s
        )

    def _wait_reason(self, call: Call, now_s: float) -> Reason:
        """Return why targets take no request now: all back off, or limits are used up."""
        service, model = call.service, call.terms.model
        all_backed_off_now = self._fleet.all_backed_off(service, model, call.allowed_halls, now_s)
        return Reason.BACKOFF if all_backed_off_now else Reason.TARGET_LIMIT

    def _all_closed(self, call: Call) -> bool:
        return self._fleet.all_halls_closed(call.service, call.terms.model, call.allowed_halls)

    def _max_wait_s(self, call: Call) -> float:
        if call.begun:
            return self._tuning.resume_max_wait_s
        return call.route.objective_s * self._tuning.max_wait_share

    def _max_queued(self, call: Call) -> int:
        tuning = self._tuning
        answer_begun = call.answer is not None
        return tuning.max_queued_resuming if answer_begun else tuning.max_queued

    def _pick_candidate(self, call: Call, max_queued: int, now_s: float) -> Attempt | None:
        if call.engine is not None:
            group = self._fleet.pick_group(
                call.service,
                call.terms.model,
                call.tried,
                call.engine,
                max_queued,
                call.terms.prompt_tokens,
                call.allowed_halls,
                now_s,
            )
            if group is None:
                return None
            return Attempt(
                *(group.leader, group.address, group.hall, group.group),
                prompt_tokens=call.terms.prompt_tokens,
                begun_s=now_s,
                is_last=call.last_run,
                group=group.group,
                epoch=group.epoch,
                pace=group.pace,
                load=self._fleet.load(group.group),
                born_ms=group.born_ms,
            )
        target = self._fleet.pick_target(call.service, call.tried, call.allowed_halls, now_s)
        if target is None and call.tried and not self._fleet.has_serving_group(call.service):
            target = self._fleet.pick_target(call.service, (), call.allowed_halls, now_s)
        if target is None:
            return None
        candidate = target.instance
        return Attempt(
            *(target.instance, target.address, target.hall, candidate),
            begun_s=now_s,
            born_ms=target.born_ms,
        )

    async def _key_still_valid(self) -> bool:
        """Return whether the key that a call was admitted with may still be trusted."""
        version = self._serving.version
        return await self._serving.wait_for_trusted_keys() and self._serving.version == version

    async def _send(self, call: Call, attempt: Attempt) -> Ending:
        try:
            await self._check_may_send(call)
        except BaseException:
            self._failovers.give_back(attempt)
            raise
        if self.queues.is_withdrawn(attempt):
            self.queues.give_back(attempt)
            return Ending(Outcome.NOT_RUN, Reason.GROUP_INCOMPLETE, failed=False)
        call.sends += 1
        call.target = attempt.instance
        self._fleet.begin(attempt)
        ending = Ending(Outcome.UNKNOWN, Reason.CALLER_GONE)
        try:
            ending = await self._exchange.send(call, attempt)
            return ending
        finally:
            self._fleet.end(attempt, ending.failed, asyncio.get_running_loop().time())
            self.queues.on_ended(attempt, call, ending.outcome is Outcome.ANSWERED)

    async def _check_may_send(self, call: Call) -> None:
        """Raise unless the call's key is still trusted and it is not known to end its targets."""
        if call.organisation is not None and not await self._key_still_valid():
            raise self._give_up(call, Reason.STALE_VERSION, self._tuning.retry_after_regroup_s)
        self._check_fatal(call)


__all__ = ["Relay"]
