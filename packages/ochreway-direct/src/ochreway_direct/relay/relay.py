# SPDX-License-Identifier: Apache-2.0
"""The way of a request: admitted, sent, sent again where that is allowed, answered."""

import asyncio
import contextlib
import zlib
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from yarl import URL

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_direct.configuration import Route, RouteKind
from ochreway_direct.coordinator.demand import work_s
from ochreway_direct.demandmeter import DemandMeter
from ochreway_direct.ids import ServiceName
from ochreway_direct.ports.dialect import AnswerHead, CallerDialect, CallerTerms, ForwardTerms
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import AnswerBroken, Refused
from ochreway_direct.relay.eventsplitter import EventSplitter
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.routetable import RouteTable
from ochreway_direct.serving import Serving
from ochreway_routing.retrybudget import RetryBudget
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
CONNECT_FAULTS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BREAKS = (aiohttp.ClientError, OSError, ValueError)


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
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._serving = serving
        self._fleet = serving.fleet
        self._dialect = dialect
        self._kept = kept
        self._single = single
        self._meter = meter
        self._tuning = tuning
        self._log = log
        self._metrics = metrics
        self._budget = RetryBudget(share=tuning.retry_share, at_most=tuning.retries_at_most)
        self.open_calls = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.open_calls += 1
        try:
            return await self._answer(request)
        finally:
            self.open_calls -= 1

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        terms = self._dialect.read(request.headers)
        try:
            call = await self._admit(request, terms)
            return await self._run(call)
        except Refused as refused:
            self._metrics.count(f"refused.{refused.reason.value}")
            self._log.detail(
                "refused",
                request=terms.request,
                status=refused.status,
                reason=refused.reason.value,
            )
            return self._refusal(terms, refused)
        except AnswerBroken as broken:
            self._metrics.count(f"broken.{broken.reason.value}")
            self._log.detail("broken", request=terms.request, reason=broken.reason.value)
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from broken
        except asyncio.CancelledError:
            self._metrics.count(f"refused.{Reason.CALLER_GONE.value}")
            raise

    def _refusal(self, terms: CallerTerms, refused: Refused) -> web.Response:
        headers = self._dialect.refusal(terms.request, refused.retry_after_s)
        answer = web.Response(
            status=refused.status, headers=headers, text=refused.reason.value + "\n"
        )
        if self._serving.stopping:
            answer.force_close()
        return answer

    # Admission.

    async def _admit(self, request: web.BaseRequest, terms: CallerTerms) -> Call:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        body = await self._body(request)
        routes = self._serving.routes
        if routes is None:
            raise Refused(NOT_RUN_STATUS, Reason.NO_CONFIGURATION, self._tuning.retry_after_s)
        route = routes.route(request.host.partition(":")[0], request.raw_path.partition("?")[0])
        if route is None:
            raise Refused(404, Reason.UNKNOWN_TARGET)
        if not terms.request:
            raise Refused(400, Reason.BAD_REQUEST)
        call = Call(
            request=request,
            terms=terms,
            route=route,
            service=_service(route, terms.request),
            organisation=None,
            priority=route.priority,
            body=body,
            started_s=started_s,
            end_s=started_s + min(route.timeout_s, terms.deadline_s or route.timeout_s),
            work_s=0.0,
            resume_after=terms.resume_after,
        )
        self._identify(call, routes)
        self._weigh(call, routes)
        self._budget.requested()
        return call

    async def _body(self, request: web.BaseRequest) -> bytes:
        try:
            return await request.read()
        except web.HTTPRequestEntityTooLarge as fault:
            raise Refused(413, Reason.TOO_LARGE) from fault

    def _identify(self, call: Call, routes: RouteTable) -> None:
        """Name the organisation that calls; its keys are trusted only while they are fresh."""
        if call.route.public or not routes.asks_for_keys:
            return
        if not self._fresh():
            raise self._give_up(call, Reason.STALE_VERSION, self._tuning.regroup_after_s)
        organisation = routes.organisation(call.terms.key)
        if organisation is None:
            raise Refused(401, Reason.UNAUTHORISED)
        call.organisation = organisation.name
        if organisation.priority is not None:
            call.priority = organisation.priority

    def _fresh(self) -> bool:
        return self._serving.freshness.holds(asyncio.get_running_loop().time())

    def _weigh(self, call: Call, routes: RouteTable) -> None:
        service = routes.service(call.service)
        if service is None or service.engine is None or call.terms.model is None:
            return
        call.work_s = work_s(
            service.engine, call.terms.model, call.terms.prompt_tokens, call.terms.answer_tokens
        )
        call.slots = service.engine.slots
        self._meter.note(call.terms.model, call.work_s, call.started_s)

    def _give_up(self, call: Call, reason: Reason, after_s: float) -> Refused | AnswerBroken:
        left_s = call.left_s(asyncio.get_running_loop().time())
        return _refusal_of(call, reason, min(after_s, self._tuning.retry_after_share * left_s))

    # Sending.

    async def _run(self, call: Call) -> web.StreamResponse:
        """Send a call until it is answered or may not be sent again."""
        while True:
            attempt = await self._place(call)
            ending = await self._send(call, attempt)
            if ending.response is not None:
                return ending.response
            self._metrics.count(f"attempt.{ending.reason.value}")
            if ending.outcome is not Outcome.NOT_RUN:
                call.runs += 1
            call.tried.add(attempt.instance)
            await self._check_again(call, ending)
            self._metrics.count(f"retry.{ending.reason.value}")

    async def _check_again(self, call: Call, ending: Ending) -> None:
        """Raise unless the call may be sent once more."""
        left_s = call.left_s(asyncio.get_running_loop().time())
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
        raise self._give_up(call, reason, self._tuning.retry_after_s)

    async def _place(self, call: Call) -> Attempt:
        """Choose where to send a call, waiting a little while nothing can take it."""
        loop = asyncio.get_running_loop()
        until_s = min(loop.time() + self._patience_s(call), call.end_s)
        while True:
            found = self._pick(call)
            if found is not None:
                return found
            if loop.time() >= until_s:
                break
            await asyncio.sleep(self._tuning.place_poll_s)
        full = self._fleet.has_group(call.service, call.terms.model)
        reason = Reason.QUEUE_FULL if full else Reason.NO_GROUP
        raise self._give_up(call, reason, self._tuning.regroup_after_s)

    def _patience_s(self, call: Call) -> float:
        if call.answer is not None or call.runs:
            return self._tuning.resume_patience_s
        return call.route.objective_s * self._tuning.patience_share

    def _pick(self, call: Call) -> Attempt | None:
        group = self._fleet.pick_group(call.service, call.terms.model, call.tried, call.slots)
        if group is not None:
            return Attempt(group.leader, group.address, group.hall, group.group)
        target = self._fleet.pick_target(call.service, call.tried)
        if target is None and call.tried and not self._fleet.has_engines(call.service):
            target = self._fleet.pick_target(call.service, ())
        if target is None:
            return None
        return Attempt(target.instance, target.address, target.hall, target.instance)

    async def _send(self, call: Call, attempt: Attempt) -> Ending:
        if call.organisation is not None and not self._fresh():
            raise self._give_up(call, Reason.STALE_VERSION, self._tuning.regroup_after_s)
        call.sends += 1
        self._fleet.begin(attempt)
        ending = Ending(Outcome.UNKNOWN, Reason.CALLER_GONE)
        try:
            ending = await self._bounded(call, attempt)
            return ending
        finally:
            self._fleet.end(attempt, ending.failed)

    async def _bounded(self, call: Call, attempt: Attempt) -> Ending:
        """Send under a time bound that is moved as the answer comes in."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(self._first_bound_s(call, loop.time())) as bound:
                attempt.bind(bound)
                return await self._exchange(call, attempt)
        except TimeoutError:
            if attempt.lost:
                return Ending(Outcome.UNKNOWN, Reason.GROUP_INCOMPLETE)
            late = call.left_s(loop.time()) <= 0
            return Ending(Outcome.UNKNOWN, Reason.DEADLINE_PASSED if late else Reason.TARGET_FAILED)
        except CONNECT_FAULTS:
            return Ending(Outcome.NOT_RUN, Reason.LINK_LOST)
        except BREAKS:
            return Ending(Outcome.UNKNOWN, Reason.TARGET_FAILED)

    def _first_bound_s(self, call: Call, now_s: float) -> float:
        """Return until when a first answer is waited for: less when another place may give one."""
        route, tuning = call.route, self._tuning
        last = not route.repeatable or call.runs + 1 >= route.attempts_at_most
        if not last and self._alternative(call):
            patience_s = tuning.first_answer_objectives * route.objective_s
            return min(call.end_s, now_s + max(tuning.first_answer_least_s, patience_s))
        if route.kind is not RouteKind.STREAM:
            return call.end_s
        silence_s = max(
            tuning.caller_silence_s,
            tuning.caller_silence_objectives * route.objective_s,
            tuning.caller_silence_pauses * route.pause_s,
        )
        return min(call.end_s, call.started_s + silence_s)

    def _alternative(self, call: Call) -> bool:
        if self._fleet.has_engines(call.service):
            return len(self._fleet.places(call.service, call.terms.model)) > 1
        return True

    async def _exchange(self, call: Call, attempt: Attempt) -> Ending:
        async with self._request(call, attempt) as response:
            head = self._dialect.answer_head(response.status, response.headers)
            if head.not_run:
                await self._finish_body(response)
                return Ending(Outcome.NOT_RUN, Reason.QUEUE_FULL)
            fault = self._fault(call, response, head)
            if fault is not None:
                response.close()
                return fault
            if call.route.kind is RouteKind.STREAM and response.status == 200:
                return await self._stream(call, attempt, response)
            return await self._whole(call, response)

    def _fault(
        self, call: Call, response: aiohttp.ClientResponse, head: AnswerHead
    ) -> Ending | None:
        """Return the ending of an answer that cannot be this request's own."""
        foreign = head.request != call.terms.request or head.encoded
        unsigned = response.status < 300 and not head.signed
        if foreign or unsigned:
            return Ending(Outcome.UNKNOWN, Reason.ANSWER_SHORT)
        return None

    @contextlib.asynccontextmanager
    async def _request(self, call: Call, attempt: Attempt) -> AsyncIterator[aiohttp.ClientResponse]:
        loop = asyncio.get_running_loop()
        terms = ForwardTerms(
            instance=attempt.instance,
            deadline_s=call.left_s(loop.time()),
            organisation=call.organisation,
            priority=call.priority,
            resume_after=call.resume_after,
        )
        session = self._kept if call.route.repeatable else self._single
        async with session.request(
            call.request.method,
            URL(f"http://{attempt.address}{call.request.raw_path}", encoded=True),
            headers=self._dialect.forward(call.request.headers, terms),
            skip_auto_headers=SKIPPED_HEADERS,
            data=call.body or None,
            allow_redirects=False,
        ) as response:
            yield response

    async def _finish_body(self, response: aiohttp.ClientResponse) -> None:
        with contextlib.suppress(*BREAKS):
            await response.read()

    async def _whole(self, call: Call, response: aiohttp.ClientResponse) -> Ending:
        body = await response.read()
        if call.answer is not None:
            return Ending(Outcome.UNKNOWN, Reason.TARGET_FAILED)
        again = call.runs + 1 < call.route.attempts_at_most and call.route.repeatable
        if response.status >= 500 and again:
            return Ending(Outcome.UNKNOWN, Reason.TARGET_FAILED)
        answer = web.Response(
            status=response.status, headers=self._dialect.answer(response.headers), body=body
        )
        self._end_connection(answer)
        return Ending.answered(answer, failed=response.status >= 500)

    def _end_connection(self, answer: web.StreamResponse) -> None:
        if self._serving.stopping:
            answer.force_close()

    async def _stream(
        self, call: Call, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> Ending:
        loop = asyncio.get_running_loop()
        splitter = EventSplitter()
        pause_s = max(self._tuning.stall_least_s, self._tuning.stall_pauses * call.route.pause_s)
        async for piece in response.content.iter_any():
            whole = splitter.feed(piece)
            now_s = loop.time()
            attempt.heard(now_s)
            attempt.extend(min(call.end_s, now_s + pause_s))
            if whole:
                # Noted first: a write that is cancelled may have been passed on all the same.
                call.resume_after = splitter.last_id or call.resume_after
                await self._pass_on(call, response, whole)
        if splitter.rest():
            return Ending(Outcome.UNKNOWN, Reason.ANSWER_SHORT)
        answer = await self._begin(call, response)
        await answer.write_eof()
        return Ending.answered(answer)

    async def _begin(self, call: Call, response: aiohttp.ClientResponse) -> web.StreamResponse:
        if call.answer is None:
            answer = web.StreamResponse(
                status=response.status, headers=self._dialect.answer(response.headers)
            )
            answer.enable_chunked_encoding()
            self._end_connection(answer)
            call.answer = answer
            await answer.prepare(call.request)
        return call.answer

    async def _pass_on(self, call: Call, response: aiohttp.ClientResponse, whole: bytes) -> None:
        answer = await self._begin(call, response)
        await answer.write(whole)


def _refusal_of(call: Call, reason: Reason, retry_after_s: float) -> Refused | AnswerBroken:
    """Return how to end a call that is given up on, by what may have become of it."""
    if call.answer is not None:
        return AnswerBroken(reason)
    if not call.runs:
        return Refused(NOT_RUN_STATUS, reason, retry_after_s)
    late = reason is Reason.DEADLINE_PASSED
    return Refused(TIMEOUT_STATUS if late else UNKNOWN_STATUS, reason)


def _service(route: Route, request: str) -> ServiceName:
    """Return one of a route's services, by its weights and the request's id."""
    total = sum(share.weight for share in route.shares)
    point = zlib.crc32(request.encode()) % max(1, total)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


__all__ = ["Relay"]
