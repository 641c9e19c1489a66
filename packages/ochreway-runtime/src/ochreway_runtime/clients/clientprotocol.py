# SPDX-License-Identifier: Apache-2.0
"""Protocol of a connection whose client this process does not control."""

import asyncio
import socket
from typing import Any

from aiohttp import web
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_exceptions import HTTPBadRequest, HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestPayloadError

from ochreway_runtime.clients import refusals
from ochreway_runtime.clients.clientaccount import ClientAccount
from ochreway_runtime.clients.clientfault import ClientFault
from ochreway_runtime.clients.connectionlimits import ConnectionLimits
from ochreway_runtime.clients.listener import Listener
from ochreway_runtime.clients.refusals import RefusedHead
from ochreway_runtime.clients.socketbuffers import bound_reads, unread_bytes, unsent_bytes

REQUESTS_AHEAD = 2
"""Whole requests that wait behind the one under way; the rest is left to the kernel."""
AHEAD_BYTES = 64 * 1024
"""Content of requests that wait behind the one under way, above which no more is read."""
READ_BUFFER_BYTES = 64 * 1024
"""Half of what is kept of a body that its handler does not read as fast as it arrives."""
HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes that a header line has beside its name and value: ``: `` and CRLF."""
LINE_MEMORY_BYTES = 1000
"""Memory of one parsed header line beside its bytes, and of the copies that forward it."""
REQUEST_MEMORY_BYTES = 2 * 1024
"""Memory of one parsed request beside its header lines."""
UNTAKEN_BYTES = 64 * 1024
"""Written and not taken bytes above which the next request of a connection has to wait."""
UNTAKEN_TIMEOUT_S = 10.0
"""How long a client may take nothing of what was written."""
POLL_S = 0.01
DISCARD_BYTES = 1024 * 1024
"""How much is read and discarded after a refusal; a reset would cost the client its answer."""
DISCARD_S = 2.0
"""How long that may take: some round trips."""


class ClientProtocol(web.RequestHandler):
    """Bound what one connection holds and for how long; discard all that follows a refusal."""

    __slots__ = (
        "_account",
        "_body",
        "_closes_after",
        "_connection",
        "_discard_end",
        "_discarded_bytes",
        "_discarding",
        "_expects_more",
        "_headers_due",
        "_is_closed_by_client",
        "_is_ended",
        "_kernel_bytes",
        "_limits",
        "_listener",
        "_pending_bytes",
        "_pending_lines",
        "_tail_bytes",
        "_taken_s",
        "_untaken_bytes",
        "held_bytes",
        "opened_s",
    )

    def __init__(
        self,
        server: web.Server,
        limits: ConnectionLimits,
        account: ClientAccount,
        listener: Listener,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        """Serve a connection that a listener accepts; the account sums up what it holds."""
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=limits.header_lines,
            lingering_time=0.0,
            read_bufsize=READ_BUFFER_BYTES,
            **options,
        )
        self._limits = limits
        self._account = account
        self._listener = listener
        self._connection: asyncio.Transport | None = None
        self._body: StreamReader = EMPTY_PAYLOAD
        self._headers_due: asyncio.TimerHandle | None = None
        self._closes_after = False
        self._expects_more = False
        self._discarding = False
        self._discarded_bytes = 0
        self._discard_end: asyncio.Future[None] | None = None
        self._is_closed_by_client = False
        self._is_ended = False
        self._pending_bytes = 0
        self._pending_lines = 0
        self._tail_bytes = 0
        self._kernel_bytes = 0
        self._untaken_bytes = 0
        self._taken_s = 0.0
        self.held_bytes = 0
        self.opened_s = loop.time()
        self._limit_requests_ahead(bool(options.get("auto_decompress", True)))

    def _limit_requests_ahead(self, auto_decompress: bool) -> None:
        """Let the parser stop after fewer whole requests than it does by default."""
        self._max_msg_queue_size = REQUESTS_AHEAD
        self._msg_queue_resume_size = REQUESTS_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            max_headers=self._limits.header_lines,
            payload_exception=RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=REQUESTS_AHEAD,
        )

    # What the account sees

    @property
    def listener(self) -> Listener:
        """Return the listener that accepted the connection."""
        return self._listener

    @property
    def has_requests(self) -> bool:
        """Return whether it has whole requests that are not answered."""
        if self._request_in_progress and (self._messages or self._body.is_eof()):
            return True
        return any(
            body.is_eof() and not isinstance(message, RefusedHead)
            for message, body in self._messages
        )

    def check(self, now_s: float) -> None:
        """Count anew what it holds, in the kernel as well, and end it if nothing is taken."""
        transport = self._connection
        if transport is None or self._is_ended:
            return
        connection = transport.get_extra_info("socket")
        written_bytes = transport.get_write_buffer_size()
        untaken_bytes = written_bytes + unsent_bytes(connection) if written_bytes else 0
        if not untaken_bytes or untaken_bytes < self._untaken_bytes:
            self._taken_s = now_s
        self._untaken_bytes = untaken_bytes
        self._kernel_bytes = untaken_bytes - written_bytes
        if self._is_arriving or not transport.is_reading():
            self._kernel_bytes += unread_bytes(connection)
        self._update_held()
        if untaken_bytes and now_s - self._taken_s > UNTAKEN_TIMEOUT_S:
            self._account.record(ClientFault.ANSWER_UNTAKEN, self)
            self.end()

    @property
    def _is_arriving(self) -> bool:
        """Return whether a part of a request has arrived, or more follows a refused one."""
        return self._discarding or bool(self._pending_bytes) or not self._body.is_eof()

    def shed(self) -> bool:
        """Drop all that waits if an answer is under way or not taken; return whether it was.

        The client gets that answer, and then a refusal of what it sent after it.
        """
        is_body_awaited = not self._messages and not self._body.is_eof()
        if self._discarding or is_body_awaited or not self._has_answer():
            return False
        self._messages.clear()
        self._body = EMPTY_PAYLOAD
        self._put_refusal(refusals.UNAVAILABLE_STATUS)
        self._begin_discarding(ClientFault.MEMORY)
        self._update_held()
        return True

    def _has_answer(self) -> bool:
        """Return whether an answer is under way, or was written and is not taken."""
        transport = self._connection
        if self._request_in_progress or transport is None:
            return self._request_in_progress
        written_bytes = transport.get_write_buffer_size()
        return bool(written_bytes or unsent_bytes(transport.get_extra_info("socket")))

    def end(self) -> None:
        """Abort the connection, and free what it holds at once: others are about to hold more."""
        self._is_ended = True
        if self._connection is not None:
            self._connection.abort()
        is_awake = self._waiter is not None and self._waiter.done()
        self._release()
        if is_awake:
            # The task that was woken takes a request in any case.
            self._messages.append((refusals.refused_head(refusals.MALFORMED_STATUS), EMPTY_PAYLOAD))

    def _release(self) -> None:
        """Free the requests that nobody has looked at.

        Parts of an ended connection refer to each other, so what they hold would be freed late.
        """
        for _, body in self._messages:
            _drop_content(body)
        self._messages.clear()
        _drop_content(self._body)
        self._body = EMPTY_PAYLOAD
        # The parser keeps the lines of the last head, and what it has not parsed.
        self._parser = None

    # The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; if there are too many, end one that has no request."""
        assert isinstance(transport, asyncio.Transport)
        self._connection = transport
        self._taken_s = self.opened_s
        bound_reads(transport)
        self._account.add(self)
        super().connection_made(transport)
        if self._account.is_full(self._listener):
            self._account.make_place(self._listener, self.opened_s)

    def eof_received(self) -> None:
        """Record that the client closed its side of the connection."""
        self._is_closed_by_client = True
        self._wake_discarding()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._cancel_header_timer()
        self._wake_discarding()
        super().connection_lost(exc)
        self._account.remove(self)
        self._connection = None
        self._release()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived unless the connection is refused, and check it against the limits.

        Without data, the parser goes on with what it has left.
        """
        if self._discarding or self._is_ended:
            self._discard(len(data))
            return
        if data and self._closes_after and self._body.is_eof():
            self._begin_discarding(ClientFault.AFTER_LAST)
            self._discard(len(data))
            return
        requests_before, body = self._request_count, self._body
        content_before, in_head = body.total_bytes, body.is_eof()
        super().data_received(data)
        new_requests = self._request_count - requests_before
        if new_requests:
            self._account.mark_used(self)
            self._check_requests(new_requests)
            self._cancel_header_timer()
        elif data and in_head and self._headers_due is None:
            self._start_header_timer()
        self._tail_bytes = len(data) if self._buffer_paused or self._reading_paused else 0
        if new_requests or body.total_bytes > content_before or body.is_eof() is not in_head:
            self._pending_bytes = self._pending_lines = 0
        else:
            self._count_pending(data)
        self._pause_if_ahead()
        self._update_held()

    def _resume_reading_if_drained(self) -> None:
        super()._resume_reading_if_drained()
        self._pause_if_ahead()

    def _pause_if_ahead(self) -> None:
        """Read no more while requests that wait behind another one have much content."""
        if self._buffer_paused or self._discarding or not self._messages:
            return
        if sum(body.total_bytes for _, body in self._messages) > AHEAD_BYTES:
            self._pause_reading_for_buffer()

    def _count_pending(self, data: bytes) -> None:
        """Count what brought neither a request nor content of a body; refuse too much of it."""
        self._pending_bytes += len(data)
        self._pending_lines += data.count(b"\n")
        if self._pending_bytes <= self._limits.header_bytes or self._discarding:
            return
        if self._body.is_eof():
            self._put_refusal(refusals.TOO_LARGE_STATUS)
        else:
            limit_bytes = self._limits.header_bytes
            self._body.set_exception(HTTPRequestEntityTooLarge(limit_bytes, self._pending_bytes))
        self._begin_discarding(ClientFault.HEAD_TOO_LARGE)

    def _put_refusal(self, status: int) -> None:
        """Queue a refusal behind the requests that arrived before."""
        self._messages.append((refusals.refused_head(status), EMPTY_PAYLOAD))
        self._request_count += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_requests(self, count: int) -> None:
        """Look at the requests that were parsed last."""
        for index in range(len(self._messages) - count, len(self._messages)):
            message, body = self._messages[index]
            if isinstance(message, RefusedHead):
                refused = refusals.without_content(message)
                self._refuse_from(index, refused, refusals.fault_of(refused))
                return
            if self._refuses_head(message):
                refused = refusals.refused_head(refusals.TOO_LARGE_STATUS)
                self._refuse_from(index, refused, ClientFault.HEAD_TOO_LARGE)
                return
            self._body = body
            if message.upgrade or message.method == "CONNECT":
                # No protocol is changed here, so nobody would read what follows the request.
                message = message._replace(should_close=True, upgrade=False)
                self._messages[index] = (message, body)
                self._expects_more = True
                self._upgraded, self._message_tail = False, b""
            self._closes_after = message.should_close

    def _refuse_from(self, index: int, refused: RefusedHead, fault: ClientFault) -> None:
        """Let a refusal take the place of what was parsed from a queued request on."""
        while len(self._messages) > index:
            self._messages.pop()
        if self._body.is_eof():
            self._messages.append((refused, EMPTY_PAYLOAD))
        else:
            # The bytes belong to a body, whose request is refused as a whole.
            self._body.set_exception(HTTPBadRequest())
        self._begin_discarding(fault)

    def _refuses_head(self, message: RawRequestMessage) -> bool:
        """Return whether the head of a request is refused here, as it is too large."""
        return head_bytes(message.path, message.raw_headers) > self._limits.header_bytes

    # What follows a refusal

    def _begin_discarding(self, fault: ClientFault) -> None:
        """Parse and keep nothing more of what arrives."""
        if self._discarding:
            return
        self._discarding = True
        self._account.record(fault, self)
        self._cancel_header_timer()
        self._parser, self._message_tail = None, b""
        self._pending_bytes = self._pending_lines = self._tail_bytes = 0
        self._reading_paused = self._buffer_paused = False
        self._resume_transport_reading()

    def _discard(self, size_bytes: int) -> None:
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > DISCARD_BYTES:
            self._pause_transport_reading()
            self._wake_discarding()

    def _wake_discarding(self) -> None:
        if self._discard_end is not None and not self._discard_end.done():
            self._discard_end.set_result(None)

    async def _discard_rest(self) -> None:
        """Discard what a refused client still sends, until it closes or a limit is reached."""
        transport = self._connection
        if transport is None or transport.is_closing() or self._is_closed_by_client:
            return
        if self._discarded_bytes > DISCARD_BYTES:
            return
        transport.write_eof()
        self._discard_end = self._loop.create_future()
        await asyncio.wait((self._discard_end,), timeout=DISCARD_S)

    # Answers

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of an answer, and wait for its client if it is behind.

        A request that arrives while the kernel still sends would turn a close into a reset, and
        the client would lose the end of the answer.
        """
        if not request.content.is_eof():
            self._begin_discarding(ClientFault.BODY_UNREAD)
            _drop_content(request.content)
        if self._discarding and not self._messages and isinstance(resp, web.StreamResponse):
            resp.force_close()
        answer, reset = await super().finish_response(request, resp, start_time)
        if not reset:
            self.on_written(request)
            await self._wait_for_client(answer.keep_alive)
            self._update_held()
        return answer, reset

    def on_written(self, request: web.BaseRequest) -> None:
        """Do nothing when the whole answer to a request was handed to the connection."""

    async def _wait_for_client(self, is_kept: bool | None) -> None:
        """Wait while too much is not taken, or all of it if the connection closes now."""
        transport = self._connection
        if transport is None:
            return
        if is_kept:
            while transport.get_write_buffer_size() > UNTAKEN_BYTES and not transport.is_closing():
                await asyncio.sleep(POLL_S)
            return
        connection: socket.socket | None = transport.get_extra_info("socket")
        end_s = self._loop.time() + UNTAKEN_TIMEOUT_S
        while self._loop.time() < end_s and not self._is_ended:
            if not transport.get_write_buffer_size() and not unsent_bytes(connection):
                break
            await asyncio.sleep(POLL_S)
        if self._discarding or self._expects_more:
            await self._discard_rest()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer refused heads without a log line or a traceback for each of them."""
        if status in refusals.TEXTS:
            return refusals.answer(status)
        return super().handle_error(request, status, exc, message)

    # The time for a head

    def _start_header_timer(self) -> None:
        self._headers_due = self._loop.call_later(
            self._limits.header_timeout_s, self._on_header_timeout
        )

    def _cancel_header_timer(self) -> None:
        if self._headers_due is not None:
            self._headers_due.cancel()
            self._headers_due = None

    def _on_header_timeout(self) -> None:
        self._headers_due = None
        if self._request_in_progress or self._messages:
            # Answers to complete requests are sent first.
            self._start_header_timer()
            return
        self._account.record(ClientFault.HEAD_LATE, self)
        if self.transport is not None:
            self.transport.write(refusals.LATE_HEAD)
        self.force_close()

    def _update_held(self) -> None:
        if self._connection is None or self._is_ended:
            return
        held_bytes = self._pending_bytes + LINE_MEMORY_BYTES * self._pending_lines
        held_bytes += self._tail_bytes + self._kernel_bytes
        held_bytes += min(UNTAKEN_BYTES, self._connection.get_write_buffer_size())
        if not self._messages:
            held_bytes += _unread_content(self._body)
        if self._current_request is not None:
            held_bytes += _memory_bytes(len(self._current_request.raw_headers))
        for message, body in self._messages:
            if not isinstance(message, RefusedHead):
                held_bytes += _memory_bytes(len(message.raw_headers)) + body.total_bytes
        self._account.update(self, held_bytes)


def head_bytes(path: str, raw_headers: tuple[tuple[bytes, bytes], ...]) -> int:
    """Return the size of a head, but for its method and version."""
    lines = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in raw_headers)
    return lines + len(path)


def _drop_content(body: StreamReader) -> None:
    """Discard what was received of a body and not read: nothing, while somebody waits for it."""
    is_awaited = body is not EMPTY_PAYLOAD and body._waiter is not None
    if body.exception() is None and not is_awaited:
        body.read_nowait()


def _unread_content(body: StreamReader) -> int:
    """Return how much of a body was received and not read by its handler."""
    return 0 if body is EMPTY_PAYLOAD else body._size


def _memory_bytes(header_lines: int) -> int:
    return REQUEST_MEMORY_BYTES + LINE_MEMORY_BYTES * header_lines


__all__ = ["ClientProtocol", "head_bytes"]
