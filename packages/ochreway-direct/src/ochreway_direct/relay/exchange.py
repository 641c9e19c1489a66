# SPDX-License-Identifier: Apache-2.0
"""One exchange with a target: a call goes out, its answer comes back to the caller."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from yarl import URL

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_direct.configuration import RouteKind
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.ports.dialect import AnswerHead, CallerDialect, ForwardTerms
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import CallerGone
from ochreway_direct.relay.eventsplitter import EventSplitter
from ochreway_direct.relay.sendguard import SendWithheld, send_guard
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
CONNECT_FAULTS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
HEAD_BYTES = 500
"""About what the headers of a request or of an answer take."""
EVENT_BYTES = 60
"""About what the chunk and the packet of an event take beside it."""
BREAKS = (aiohttp.ClientError, OSError, ValueError)


class Exchange:
    """Send calls to targets and pass their answers on.

    What may not be repeated goes over a connection of its own, as a kept one may be closed
    under it, of which nobody then knows whether it ran.
    """

    def __init__(
        self,
        serving: Serving,
        dialect: CallerDialect,
        kept: aiohttp.ClientSession,
        single: aiohttp.ClientSession,
        tuning: RelayTuning,
        notices: NoticeWatch,
    ) -> None:
        self._serving = serving
        self._fleet = serving.fleet
        self._dialect = dialect
        self._kept = kept
        self._single = single
        self._tuning = tuning
        self._notices = notices

    async def send(self, call: Call, attempt: Attempt) -> Ending:
        """Send a call under a time bound that is moved as the answer comes in.

        Raises:
            CallerGone: when the caller does not take the answer any more.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(self._first_bound_s(call, loop.time())) as bound:
                attempt.bind(bound)
                return await self._exchange(call, attempt)
        except TimeoutError:
            if attempt.lost:
                return Ending(Outcome.UNKNOWN, Reason.GROUP_INCOMPLETE)
            late = call.left_s(loop.time()) <= 0
            reason = Reason.DEADLINE_PASSED if late else Reason.TARGET_FAILED
            return Ending(Outcome.UNKNOWN, reason, broke=True)
        except SendWithheld:
            return Ending(Outcome.NOT_RUN, Reason.BACKOFF, failed=False)
        except CONNECT_FAULTS:
            return Ending(Outcome.NOT_RUN, Reason.LINK_LOST, broke=True)
        except BREAKS:
            return Ending(Outcome.UNKNOWN, Reason.TARGET_FAILED, broke=True, cut=True)

    def _first_bound_s(self, call: Call, now_s: float) -> float:
        """Return until when a first answer is waited for: less when another place may give one."""
        route, tuning = call.route, self._tuning
        if not call.last_run and self._alternative(call):
            patience_s = tuning.first_answer_objectives * route.objective_s
            return min(call.end_s, now_s + max(tuning.first_answer_least_s, patience_s))
        if route.kind is not RouteKind.STREAM:
            return call.end_s
        silence_s = max(
            tuning.caller_silence_s,
            tuning.caller_silence_objectives * route.objective_s,
            tuning.caller_silence_pauses * route.pause_s,
        )
        return min(call.end_s, call.silent_since_s + silence_s)

    def _alternative(self, call: Call) -> bool:
        if self._fleet.has_serving_group(call.service):
            now_s = asyncio.get_running_loop().time()
            taking = self._fleet.count_accepting_groups(
                call.service, call.terms.model, call.within, now_s
            )
            return taking > 1
        return True

    async def _exchange(self, call: Call, attempt: Attempt) -> Ending:
        async with self._request(call, attempt) as response:
            head = self._dialect.answer_head(response.status, response.headers)
            attempt.status, attempt.notice = response.status, head.notice
            self._note(call, attempt, head)
            if head.not_run:
                await self._finish_body(response)
                return self._turned_away(head)
            fault = self._fault(call, response, head)
            if fault is not None:
                response.close()
                return fault
            if call.route.kind is RouteKind.STREAM and response.status == 200:
                return await self._stream(call, attempt, response)
            return await self._whole(call, response)

    def _note(self, call: Call, attempt: Attempt, head: AnswerHead) -> None:
        """Take what an answer says of its target, if it is this request's and that target's."""
        if head.own and head.request == call.terms.request:
            self._notices.answered(attempt.instance, head.notice, attempt.born_ms)
        else:
            self._notices.heard(attempt.instance, head.notice, attempt.born_ms)

    def _turned_away(self, head: AnswerHead) -> Ending:
        """Return the ending of a request that was not run; one that names a time did not fail."""
        if head.notice.backoff_s is not None:
            return Ending(Outcome.NOT_RUN, Reason.BACKOFF, failed=False)
        return Ending(Outcome.NOT_RUN, Reason.QUEUE_FULL)

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
        self._serving.sent_bytes += len(call.body) + HEAD_BYTES
        session = self._kept if call.route.repeatable else self._single
        with send_guard(lambda: self._notices.wait_s(attempt.instance, attempt.born_ms) <= 0.0):
            response = await session.request(
                call.request.method,
                URL(f"http://{attempt.address}{call.request.raw_path}", encoded=True),
                headers=self._dialect.forward(call.request.headers, terms),
                skip_auto_headers=SKIPPED_HEADERS,
                data=call.body or None,
                allow_redirects=False,
                trace_request_ctx=attempt,
            )
        async with response:
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
        self._serving.sent_bytes += len(body) + HEAD_BYTES
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
            self._fleet.on_answer_part(attempt, now_s)
            attempt.extend(min(call.end_s, now_s + pause_s))
            if whole:
                # Noted first: a write that is cancelled may have been passed on all the same.
                call.resume_after = splitter.last_id or call.resume_after
                await self._pass_on(call, response, whole)
                call.passed_on_s = now_s
        if splitter.rest():
            return Ending(Outcome.UNKNOWN, Reason.ANSWER_SHORT, cut=True)
        try:
            answer = await self._begin(call, response)
            await answer.write_eof()
        except OSError as fault:
            raise CallerGone from fault
        return Ending.answered(answer)

    async def _begin(self, call: Call, response: aiohttp.ClientResponse) -> web.StreamResponse:
        if call.answer is None:
            answer = web.StreamResponse(
                status=response.status, headers=self._dialect.answer(response.headers)
            )
            answer.enable_chunked_encoding()
            self._end_connection(answer)
            call.answer = answer
            call.first_part_s = asyncio.get_running_loop().time()
            await answer.prepare(call.request)
        return call.answer

    async def _pass_on(self, call: Call, response: aiohttp.ClientResponse, whole: bytes) -> None:
        try:
            answer = await self._begin(call, response)
            self._serving.sent_bytes += len(whole) + EVENT_BYTES
            await answer.write(whole)
        except OSError as fault:
            raise CallerGone from fault


__all__ = ["HEAD_BYTES", "Exchange"]
