# SPDX-License-Identifier: Apache-2.0
"""Protocol of a caller's connection, with the configured limits."""

import asyncio
from collections.abc import Iterable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from ochreway_core.reason import Reason
from ochreway_direct.configuration import CallerLimits
from ochreway_direct.delivery.deliveries import Deliveries
from ochreway_direct.delivery.delivery import Delivery
from ochreway_direct.relay.callerconnections import Admittance, CallerConnections
from ochreway_runtime.clients.clientaccount import ClientAccount
from ochreway_runtime.clients.clientprotocol import ClientProtocol
from ochreway_runtime.clients.listener import Listener

CALLERS = Listener("callers")
"""The number of callers' connections is bounded by ``CallerConnections``."""


class CallerProtocol(ClientProtocol):
    """Apply the configured limits to a caller's connection.

    It reports each request that it received and whose caller does not get the whole answer.
    """

    __slots__ = (
        "_admittance",
        "_bounded",
        "_deliveries",
        "_delivery",
        "_end_reason",
    )

    def __init__(
        self,
        server: web.Server,
        limits: CallerLimits,
        connections: CallerConnections,
        account: ClientAccount,
        deliveries: Deliveries,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(server, limits.connection, account, CALLERS, loop=loop, **options)
        self._bounded = connections
        self._deliveries = deliveries
        self._delivery: Delivery | None = None
        self._end_reason: Reason | None = None
        self._admittance = Admittance.SERVED

    @property
    def refused(self) -> bool:
        """Return whether requests on this connection are refused."""
        return self._admittance is not Admittance.SERVED

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; if it is over the limit, another one may give way."""
        self._admittance = self._bounded.admit()
        super().connection_made(transport)
        if self.refused and self._account.make_place(CALLERS, self.opened_s, only_late=True):
            self._admittance = Admittance.SERVED
        if self._admittance is Admittance.DROPPED:
            self.end()

    def begin(self, delivery: Delivery) -> None:
        """Follow the next request; its caller sent it after it had the answer before."""
        if self._delivery is not None and self._delivery.written:
            self._deliveries.complete(self._delivery)
        self._delivery = delivery

    def on_written(self, request: web.BaseRequest) -> None:
        """Record that the whole answer to a request was handed to the connection."""
        if self._delivery is not None and self._delivery.request is request:
            self._delivery.written = True

    def close_if_idle(self) -> bool:
        """Close the connection if it waits for a request; return whether it is closed.

        A request that was received may not be in progress yet.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        is_waiting = self._waiter is not None and not self._waiter.done()
        is_arriving = self._headers_due is not None or not self._body.is_eof()
        if not is_waiting or is_arriving:
            return False
        self.force_close()
        return True

    def record_end(self, reason: Reason) -> None:
        """Record why this process is about to abort the connection."""
        self._end_reason = reason

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection, and report the requests that it leaves unanswered."""
        self._report_unanswered(ended_by_caller=exc is not None or self._is_closed_by_client)
        self._bounded.release()
        super().connection_lost(exc)

    def shed(self) -> bool:
        """Report the requests that are dropped, if there is an answer that is not."""
        waiting = list(self._messages)
        if not super().shed():
            return False
        self._report_unread(waiting, Reason.CALLER_STALLED)
        return True

    def end(self) -> None:
        """Abort the connection, as it holds too much or its caller takes nothing."""
        if self._end_reason is None:
            self._end_reason = Reason.CALLER_STALLED
        self._report_unread(self._messages, self._end_reason)
        super().end()

    def _refuses_head(self, _: RawRequestMessage) -> bool:
        """Return False: a refusal by the relay names the request."""
        return False

    def _report_unanswered(self, ended_by_caller: bool) -> None:
        """Report the request under way and those that nobody has looked at.

        The kernel goes on sending what a connection that this process closed has left.
        """
        own_reason = self._end_reason or self._deliveries.own_end_reason
        if self.refused:
            own_reason = Reason.CONNECTIONS_FULL
        reason = Reason.CALLER_GONE if ended_by_caller else own_reason
        delivery = self._delivery
        if delivery is not None:
            aborted = ended_by_caller or self._end_reason is not None
            if delivery.written and not (aborted and delivery.unsent_bytes()):
                self._deliveries.complete(delivery)
            self._deliveries.break_off(delivery, reason)
        self._report_unread(self._messages, reason)
        self._delivery = None

    def _report_unread(self, waiting: Iterable[tuple[Any, StreamReader]], reason: Reason) -> None:
        """Report the whole requests that nobody has looked at."""
        for message, body in waiting:
            if isinstance(message, RawRequestMessage) and body.is_eof():
                self._deliveries.break_off_unread(message.headers, reason)


__all__ = ["CALLERS", "CallerProtocol"]
