# SPDX-License-Identifier: Apache-2.0
"""HTTP client connections that fail what is no answer, or not a complete one."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from ochreway_platform.answers import FINAL_STATUSES, AnswerCheck, AnswerInvalid


class ResetAwareProtocol(ResponseHandler):
    """Fail what is no answer, and one without a length that ends in a reset.

    The latter may be incomplete. A connection that carried either is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._check = AnswerCheck()
        self._final_heads = 0
        self._invalid = False

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, unless it is no answer."""
        if self._invalid:
            return
        heads, payload = self._final_heads, self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        super().data_received(data)
        grown = payload is not None and payload.total_bytes > body_bytes
        try:
            self._check.on_bytes(len(data), grown or self._final_heads > heads)
        except AnswerInvalid as error:
            self._fail(error)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Pass a head on that is one of an answer."""
        if self._invalid:
            return
        try:
            self._check.on_head(data[0], unread=len(self))
        except AnswerInvalid as error:
            self._fail(error)
            return
        self._final_heads += data[0].code >= FINAL_STATUSES.start
        super().feed_data(data, size)

    def _fail(self, error: AnswerInvalid) -> None:
        """Fail the answer under way and close the connection."""
        self._invalid = True
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer under way before the parser can take a reset for its regular end."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc}"))
        super().connection_lost(exc)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Open connections whose resets fail the answer under way."""

    protocol_type: type[ResetAwareProtocol] = ResetAwareProtocol

    def __init__(self, **options: Any) -> None:
        """Create a connector; the options are those of ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        factory: Any = functools.partial(self.protocol_type, loop=self._loop)
        self._factory = factory


__all__ = ["ResetAwareConnector", "ResetAwareProtocol"]
