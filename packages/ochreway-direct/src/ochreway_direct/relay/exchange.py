# SPDX-License-Identifier: Apache-2.0
"""Sending a call to a target and forwarding its answer to the caller."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable

import aiohttp
from aiohttp import web
from yarl import URL

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_direct.buffering.bodypieces import PIECE_BYTES, pieces_of
from ochreway_direct.buffering.bodyreader import read_whole
from ochreway_direct.buffering.buffers import Buffers
from ochreway_direct.buffering.callerreader import CallerReader
from ochreway_direct.buffering.holding import Holding
from ochreway_direct.buffering.memoryfull import MemoryFull
from ochreway_direct.configuration import RouteKind
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.ports.dialect import AnswerHead, CallerDialect, ForwardTerms
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import CallerGone
from ochreway_direct.relay.eventsplitter import EventSplitter
from ochreway_direct.relay.failovers import Failovers
from ochreway_direct.relay.sendguard import SendWithheld, send_guard
from ochreway_direct.relay.silencetimeout import SilenceTimeout
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_platform.answers import AnswerInvalid, AnswerTooLong, read_body

SUPPRESSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
HEADERS_OVERHEAD_BYTES = 500
"""Approximate size of the headers of a request or an answer."""
EVENT_OVERHEAD_BYTES = 60
"""Approximate overhead of the chunk and the packet that carry an event."""
READ_BUFFER_BYTES = 16 * 1024
"""How much of a target's answer its connection may hold when what is held is bounded."""
SOUND_AFTER_S = 0.5
"""How long a target has to go on with a stream to show that the request does not crash it.

What crashes a target when it begins to write an answer does so within its first few steps.
"""
MAX_SKIPPED_BYTES = 64 * 1024
"""Longest body that is read although nobody needs it; a longer one closes its connection."""
MAX_EVENT_BYTES = 1024 * 1024
"""Longest event of a stream, which is held until it is complete."""
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, ValueError)


class Exchange:
    """Send calls to targets and forward their answers.

    A call that may not be repeated gets a new connection. A kept one may be closed by the target
    while the request is written, and then it is unknown whether the request ran.

    With ``buffers``, answers are read ahead of their callers up to a limit: the buffer of the
    caller's connection takes what the caller has not read. A call resumes after the last event that
    was handed to that buffer, as the connection delivers its events before any that follow.
    """

    def __init__(
        self,
        serving: Serving,
        dialect: CallerDialect,
        pooled: aiohttp.ClientSession,
        single_use: aiohttp.ClientSession,
        tuning: RelayTuning,
        failovers: Failovers,
        notices: NoticeWatch,
        buffers: Buffers | None = None,
        on_sound: Callable[[Call, Attempt], None] = lambda call, attempt: None,
    ) -> None:
        """Create an exchange; ``on_sound`` is called when a target goes on with a stream."""
        self._serving = serving
        self._on_sound = on_sound
        self._failovers = failovers
        self._fleet = serving.fleet
        self._dialect = dialect
        self._pooled_session = pooled
        self._single_use_session = single_use
        self._tuning = tuning
        self._notices = notices
        self._buffers = buffers

    async def send(self, call: Call, attempt: Attempt) -> Ending:
        """Send a call to a target, which may be silent until another one can take the call over.

        Raises:
            CallerGone: if the caller no longer accepts the answer.
        """
        try:
            async with asyncio.timeout_at(call.end_s) as bound:
                failover = self._failovers.of(call, attempt)
                silence_timeout = SilenceTimeout(bound, failover, self._give_up_s(call))
                try:
                    attempt.set_silence_timeout(silence_timeout)
                    silence_timeout.wait_until(self._first_answer_due_s(call, attempt.pace))
                    return await self._send_and_forward(call, attempt)
                finally:
                    attempt.end_silence_timeout()
        except TimeoutError:
            return self._timed_out(attempt, silence_timeout.ended)
        except MemoryFull:
            return Ending(Outcome.UNKNOWN, Reason.MEMORY_FULL, failed=False)
        except SendWithheld:
            return Ending(Outcome.NOT_RUN, Reason.BACKOFF, failed=False)
        except CONNECT_ERRORS:
            return Ending(Outcome.NOT_RUN, Reason.LINK_LOST, lost_contact=True)
        except AnswerTooLong:
            return Ending(Outcome.UNKNOWN, Reason.ANSWER_TOO_LONG)
        except AnswerInvalid:
            return Ending(Outcome.UNKNOWN, Reason.ANSWER_INVALID, lost_contact=True)
        except CONNECTION_ERRORS:
            return Ending(
                Outcome.UNKNOWN, Reason.TARGET_FAILED, lost_contact=True, disconnected=True
            )

    def _timed_out(self, attempt: Attempt, by_silence: bool) -> Ending:
        """Return the ending of an attempt whose target is silent, or whose time is over.

        With a bound on what is held, the entry waits for targets that read slowly. Such an attempt
        has not run if nothing of its request was written.
        """
        unwritten = self._buffers is not None and attempt.written_s is None
        outcome = Outcome.NOT_RUN if unwritten else Outcome.UNKNOWN
        if by_silence and attempt.lost:
            return Ending(outcome, Reason.GROUP_INCOMPLETE)
        if by_silence:
            return Ending(outcome, Reason.TARGET_SILENT, lost_contact=True)
        if attempt.awaits_caller:
            return Ending(outcome, Reason.DEADLINE_PASSED, failed=False)
        return Ending(outcome, Reason.DEADLINE_PASSED, lost_contact=True)

    def _first_answer_due_s(self, call: Call, pace: float) -> float:
        """Return when a first answer is due, after which another target may be asked.

        A group that is known to run slower by ``pace`` has that much more time. Otherwise requests
        would be given up there that it is about to answer, and repeated at another slow group.
        """
        objective_s = self._tuning.first_answer_objectives * call.route.objective_s
        patience_s = max(self._tuning.min_first_answer_s, objective_s)
        return asyncio.get_running_loop().time() + max(1.0, pace) * patience_s

    def _give_up_s(self, call: Call) -> float:
        """Return when to refuse a stream that no target has begun to answer.

        Its caller may then still send it anew. An answer that has begun is not given up.
        """
        route, tuning = call.route, self._tuning
        if route.kind is not RouteKind.STREAM or call.answer is not None:
            return math.inf
        silence_s = max(
            tuning.caller_silence_s,
            tuning.caller_silence_objectives * route.objective_s,
            tuning.caller_silence_pauses * route.pause_s,
        )
        return call.started_s + silence_s

    async def _send_and_forward(self, call: Call, attempt: Attempt) -> Ending:
        async with self._request(call, attempt) as response:
            head = self._dialect.answer_head(response.status, response.headers)
            attempt.status, attempt.notice = response.status, head.notice
            self._record_notice(call, attempt, head)
            if head.not_run:
                await self._skip_body(response)
                return self._rejection(head)
            mismatch = self._mismatch(call, response, head)
            if mismatch is not None:
                response.close()
                return mismatch
            if attempt.turn is not None and not attempt.turn.has_come:
                if not self._can_take_over(call, response.status):
                    response.close()
                    return Ending(Outcome.UNKNOWN, Reason.TARGET_FAILED)
                await attempt.turn.accept()
            if call.route.kind is RouteKind.STREAM and response.status == 200:
                return await self._forward_stream(call, attempt, response)
            return await self._forward_body(call, response)

    def _can_take_over(self, call: Call, status: int) -> bool:
        """Return whether an answer may replace that of an attempt under way."""
        return status == 200 if call.answer is not None else status < 500

    def _record_notice(self, call: Call, attempt: Attempt, head: AnswerHead) -> None:
        """Record the target's notice; only its own answer to this request may end a limit."""
        if head.own and head.request == call.terms.request:
            self._notices.on_answer(attempt.instance, head.notice, attempt.born_ms)
        else:
            self._notices.on_notice(attempt.instance, head.notice, attempt.born_ms)

    def _rejection(self, head: AnswerHead) -> Ending:
        """Return the result of a request that was not run.

        A target that names a backoff time did not fail.
        """
        if head.notice.backoff_s is not None:
            return Ending(Outcome.NOT_RUN, Reason.BACKOFF, failed=False)
        return Ending(Outcome.NOT_RUN, Reason.QUEUE_FULL)

    def _mismatch(
        self, call: Call, response: aiohttp.ClientResponse, head: AnswerHead
    ) -> Ending | None:
        """Return a failure if the answer cannot belong to this request."""
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
        self._serving.sent_bytes += len(call.body) + HEADERS_OVERHEAD_BYTES
        headers = self._dialect.forward(call.request.headers, terms)
        pieces = self._pieces(call)
        if pieces is not None:
            # Without its length, a body in pieces would be sent chunked.
            headers["Content-Length"] = str(len(call.body))
        session = self._pooled_session if call.route.repeatable else self._single_use_session
        with send_guard(lambda: self._notices.wait_s(attempt.instance, attempt.born_ms) <= 0.0):
            response = await session.request(
                call.request.method,
                URL(f"http://{attempt.address}{call.request.raw_path}", encoded=True),
                headers=headers,
                skip_auto_headers=SUPPRESSED_HEADERS,
                data=pieces or call.body or None,
                allow_redirects=False,
                read_bufsize=READ_BUFFER_BYTES if self._buffers is not None else None,
                trace_request_ctx=attempt,
            )
        async with response:
            yield response

    def _pieces(self, call: Call) -> AsyncIterator[bytes] | None:
        """Return a large body in pieces if what is held is bounded, else None."""
        if self._buffers is None or len(call.body) <= PIECE_BYTES:
            return None
        return pieces_of(call.body)

    async def _skip_body(self, response: aiohttp.ClientResponse) -> None:
        """Read a short body that nobody needs, so that its connection can be used again."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            await read_body(response, MAX_SKIPPED_BYTES)

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the whole body of an answer.

        Raises:
            AnswerTooLong: if it has no end within the limit, or none within the memory.
            MemoryFull: if its length is announced, and does not fit into the memory.
        """
        max_bytes = self._tuning.max_answer_bytes
        # The answer to a HEAD request names the length of a body that does not follow.
        length_bytes = None if response.content.at_eof() else response.content_length
        if length_bytes is not None and length_bytes > max_bytes:
            raise AnswerTooLong
        if self._buffers is None:
            return await read_body(response, max_bytes)
        try:
            with self._buffers.answer_holding() as holding:
                return await read_whole(response.content, length_bytes, holding, max_bytes)
        except web.HTTPRequestEntityTooLarge as error:
            raise AnswerTooLong from error
        except MemoryFull as error:
            if length_bytes is not None:
                raise
            # Without a length it may have no end. Another target's answer may fit.
            raise AnswerTooLong from error

    async def _forward_body(self, call: Call, response: aiohttp.ClientResponse) -> Ending:
        may_retry = call.runs + 1 < call.route.attempts_at_most and call.route.repeatable
        if call.answer is not None or (response.status >= 500 and may_retry):
            await self._skip_body(response)
            return Ending(Outcome.UNKNOWN, Reason.TARGET_FAILED)
        body = await self._read_body(response)
        answer = web.Response(
            status=response.status, headers=self._dialect.answer(response.headers), body=body
        )
        self._serving.sent_bytes += len(body) + HEADERS_OVERHEAD_BYTES
        self._close_if_stopping(answer)
        self._hand_over(call, len(body))
        return Ending.answered(answer, failed=response.status >= 500)

    def _hand_over(self, call: Call, size_bytes: int) -> None:
        """Count a whole answer as unread from now on, as its holding has ended."""
        transport = call.request.transport
        if self._buffers is not None and transport is not None:
            reader = self._buffers.reader(transport, call.organisation, call.terms.request)
            now_s = asyncio.get_running_loop().time()
            self._buffers.hand_over(reader, size_bytes, now_s)

    def _close_if_stopping(self, answer: web.StreamResponse) -> None:
        if self._serving.stopping:
            answer.force_close()

    async def _forward_stream(
        self, call: Call, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> Ending:
        if self._buffers is None:
            return await self._forward_parts(call, attempt, response)
        with self._buffers.answer_holding() as incomplete:
            return await self._forward_parts(call, attempt, response, incomplete)

    async def _forward_parts(
        self,
        call: Call,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
        incomplete: Holding | None = None,
    ) -> Ending:
        loop = asyncio.get_running_loop()
        splitter = EventSplitter()
        pause_s = self._pause_s(call)
        async for piece in response.content.iter_any():
            await self._failovers.on_answer_part(call, attempt)
            events = splitter.feed(piece)
            if len(splitter.incomplete()) > MAX_EVENT_BYTES:
                raise AnswerTooLong
            now_s = loop.time()
            self._fleet.on_answer_part(attempt, now_s)
            self._check_sound(call, attempt, now_s)
            attempt.extend(now_s + pause_s)
            if events:
                # Recorded first: a cancelled write may have reached the caller all the same.
                call.resume_after = splitter.last_id or call.resume_after
                await self._forward_events(call, attempt, response, events)
            if incomplete is not None and incomplete.size_bytes != len(splitter.incomplete()):
                incomplete.resize(len(splitter.incomplete()))
        if splitter.incomplete():
            return Ending(Outcome.UNKNOWN, Reason.ANSWER_SHORT, disconnected=True)
        attempt.complete()
        try:
            answer = await self._start_answer(call, response)
            await answer.write_eof()
        except OSError as error:
            raise CallerGone from error
        return Ending.answered(answer)

    def _check_sound(self, call: Call, attempt: Attempt, now_s: float) -> None:
        begun_s = attempt.answer_began_s
        if not attempt.proved_sound and begun_s is not None and now_s - begun_s >= SOUND_AFTER_S:
            attempt.proved_sound = True
            self._on_sound(call, attempt)

    async def _start_answer(
        self, call: Call, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        if call.answer is None:
            answer = web.StreamResponse(
                status=response.status, headers=self._dialect.answer(response.headers)
            )
            answer.enable_chunked_encoding()
            self._close_if_stopping(answer)
            call.answer = answer
            call.first_part_s = asyncio.get_running_loop().time()
            await answer.prepare(call.request)
            if self._buffers is not None:
                transport = call.request.transport
                if transport is None:
                    raise ConnectionResetError("caller's connection is closed")
                call.reader = self._buffers.reader(transport, call.organisation, call.terms.request)
        return call.answer

    async def _forward_events(
        self, call: Call, attempt: Attempt, response: aiohttp.ClientResponse, events: bytes
    ) -> None:
        try:
            answer = await self._start_answer(call, response)
            self._serving.sent_bytes += len(events) + EVENT_OVERHEAD_BYTES
            await answer.write(events)
            if self._buffers is None or call.reader is None:
                return
            if self._buffers.wrote(call.reader, len(events)):
                await self._wait_for_caller(call, attempt, call.reader, response.content)
        except OSError as error:
            raise CallerGone from error

    async def _wait_for_caller(
        self, call: Call, attempt: Attempt, reader: CallerReader, source: aiohttp.StreamReader
    ) -> None:
        """Wait for the caller of an answer that is read ahead by its limit.

        The target is not read meanwhile, so its silence means nothing.

        Raises:
            OSError: if the caller's connection is closed.
        """
        assert self._buffers is not None
        attempt.extend(call.end_s)
        attempt.awaits_caller = True
        await reader.wait_for_room(self._buffers.limits.answer_bytes, source)
        attempt.awaits_caller = False
        attempt.extend(asyncio.get_running_loop().time() + self._pause_s(call))

    def _pause_s(self, call: Call) -> float:
        """Return how long a target may be silent within its answer before the call can move."""
        return max(self._tuning.min_stall_s, self._tuning.stall_pauses * call.route.pause_s)


__all__ = ["HEADERS_OVERHEAD_BYTES", "Exchange"]
