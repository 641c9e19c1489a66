# SPDX-License-Identifier: Apache-2.0
"""Kept connections to targets that never confuse one answer with another."""

import functools
import socket
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from aiohttp.tracing import Trace

from ochreway_direct.relay.restingbounds import RestingBounds
from ochreway_direct.relay.restingtime import AT_MOST_S, DEFAULT_S, resting_time_s
from ochreway_runtime import steadyclock

UNANSWERED_MS = 2000
"""After how long without an acknowledgement the kernel gives a connection to a target up."""


class TargetProtocol(ResponseHandler):
    """Fail an answer without a length that ends in a reset; it may not be whole."""

    _rests_s = DEFAULT_S
    _rests_until_s = 0.0

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take the head of an answer; it may say how long the connection may rest after it."""
        self._rests_s = resting_time_s(data[0].headers.get("Keep-Alive"))
        super().feed_data(data, size)

    def rest(self, now_s: float) -> None:
        """Begin to rest."""
        self._rests_until_s = now_s + self._rests_s

    def usable(self, now_s: float) -> bool:
        """Tell whether a resting connection may take a request."""
        return not self.should_close and now_s <= self._rests_until_s

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break the answer under way before the parser can take the end for its own."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc}"))
        super().connection_lost(exc)


class TargetConnector(aiohttp.TCPConnector):
    """Reuse a connection only if nothing came on it after the last whole answer."""

    def __init__(
        self,
        opened: Callable[[], None] = lambda: None,
        resting: RestingBounds | None = None,
        keeps: bool = True,
    ) -> None:
        """Keep idle connections within bounds, or none at all; ``opened`` is told of new ones."""
        keeping = {"keepalive_timeout": AT_MOST_S} if keeps else {"force_close": True}
        more: dict[str, Any] = keeping
        super().__init__(
            limit=0,
            **more,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self._new_socket,
        )
        factory: Any = functools.partial(TargetProtocol, loop=self._loop)
        self._factory = factory
        self._opened = opened
        self._resting = resting or RestingBounds()

    @property
    def resting(self) -> int:
        """Return how many connections rest."""
        return sum(len(each) for each in self._conns.values())

    @property
    def open(self) -> int:
        """Return how many connections are open."""
        return len(self._acquired) + self.resting

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while True:
            found = await super()._get(key, traces)
            if found is None or found.protocol is None or _usable(found.protocol):
                return found
            found.close()

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        if isinstance(protocol, TargetProtocol):
            protocol.rest(steadyclock.now_s())
        if not self._may_rest(key):
            self._drop_unusable()
        surplus = not self._may_rest(key)
        super()._release(key, protocol, should_close=should_close or surplus)

    def _may_rest(self, key: ConnectionKey) -> bool:
        return self._resting.allow(self.resting, len(self._conns.get(key, ())))

    def _drop_unusable(self) -> None:
        """Close connections that rested too long; the library does so each 15 s only."""
        now_s = steadyclock.now_s()
        for key, resting in list(self._conns.items()):
            for pair in [each for each in resting if not _usable_at(each[0], now_s)]:
                resting.remove(pair)
                if pair[0].transport is not None:
                    pair[0].transport.close()
            if not resting:
                del self._conns[key]

    def _new_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        self._opened()
        return _target_socket(info)


def _usable(protocol: ResponseHandler) -> bool:
    return _usable_at(protocol, steadyclock.now_s())


def _usable_at(protocol: ResponseHandler, now_s: float) -> bool:
    return (
        isinstance(protocol, TargetProtocol) and protocol.is_connected() and protocol.usable(now_s)
    )


def _target_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNANSWERED_MS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


__all__ = ["TargetConnector", "TargetProtocol"]
