# SPDX-License-Identifier: Apache-2.0
"""Protocol of a caller's connection, with the configured limits."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from ochreway_direct.configuration import CallerLimits
from ochreway_direct.relay.callerconnections import Admittance, CallerConnections

HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
HEADERS_TOO_LARGE_STATUS = 431


class CallerProtocol(web.RequestHandler):
    """Limit the size and the time of headers, and the idle time of a connection."""

    __slots__ = ("_admittance", "_body", "_bounded", "_headers_due", "_limits")

    def __init__(
        self,
        server: web.Server,
        limits: CallerLimits,
        connections: CallerConnections,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            **options,
        )
        self._limits = limits
        self._bounded = connections
        self._admittance = Admittance.SERVED
        self._headers_due: asyncio.TimerHandle | None = None
        self._body: StreamReader = EMPTY_PAYLOAD

    @property
    def refused(self) -> bool:
        """Return whether requests on this connection are refused."""
        return self._admittance is not Admittance.SERVED

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; drop it unread if it is far over the limit."""
        self._admittance = self._bounded.admit()
        super().connection_made(transport)
        if self._admittance is Admittance.DROPPED and isinstance(transport, asyncio.Transport):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process received bytes; headers that begin in them must be complete in time.

        They may begin while the previous request is still being answered.
        """
        requests_before = self._request_count
        in_headers = self._body.is_eof()
        super().data_received(data)
        if self._request_count > requests_before:
            self._body = self._messages[-1][1]
            self._cancel_header_timer()
        elif data and in_headers and self._headers_due is None:
            self._start_header_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._cancel_header_timer()
        self._bounded.release()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer malformed requests without logging each of them."""
        if status == web.HTTPBadRequest.status_code:
            code = HEADERS_TOO_LARGE_STATUS if isinstance(exc, LineTooLong) else status
            answer = web.Response(status=code, text=f"{message or 'not a request'}\n")
            answer.force_close()
            return answer
        return super().handle_error(request, status, exc, message)

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
        if self.transport is not None:
            self.transport.write(HEADER_TIMEOUT_RESPONSE)
        self.force_close()


__all__ = ["CallerProtocol"]
