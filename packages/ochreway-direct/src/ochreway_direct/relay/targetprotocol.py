# SPDX-License-Identifier: Apache-2.0
"""Connections to targets that are reused without mixing up answers."""

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

from ochreway_direct.relay.idlelimits import IdleLimits
from ochreway_direct.relay.keepalive import DEFAULT_KEEP_ALIVE_S, MAX_KEEP_ALIVE_S, keep_alive_s
from ochreway_platform.resetaware import ResetAwareConnector, ResetAwareProtocol
from ochreway_runtime import steadyclock

UNACKNOWLEDGED_TIMEOUT_MS = 2000
"""Time without an acknowledgement after which the kernel closes a target connection."""


class TargetProtocol(ResetAwareProtocol):
    """Know for how long the connection may be idle; a reset fails the answer under way."""

    _keep_alive_s = DEFAULT_KEEP_ALIVE_S
    _reusable_until_s = 0.0

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Read an answer's headers; ``Keep-Alive`` says how long the connection may be idle."""
        self._keep_alive_s = keep_alive_s(data[0].headers.get("Keep-Alive"))
        super().feed_data(data, size)

    def close(self) -> None:
        """Close the connection; a request of which a part is still unsent is given up.

        Otherwise it would be kept until a slow target has taken it.
        """
        transport = self.transport
        super().close()
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()

    def start_idle(self, now_s: float) -> None:
        """Mark the connection as idle from now on."""
        self._reusable_until_s = now_s + self._keep_alive_s

    def is_reusable(self, now_s: float) -> bool:
        """Return whether the idle connection may be used for a request."""
        return not self.should_close and now_s <= self._reusable_until_s


class TargetConnector(ResetAwareConnector):
    """Reuse a connection only if nothing was received after the last complete answer."""

    protocol_type = TargetProtocol

    def __init__(
        self,
        on_opened: Callable[[], None] = lambda: None,
        idle_limits: IdleLimits | None = None,
        keep_alive: bool = True,
    ) -> None:
        """Keep idle connections within limits, or none; call ``on_opened`` for each new one."""
        reuse_options = (
            {"keepalive_timeout": MAX_KEEP_ALIVE_S} if keep_alive else {"force_close": True}
        )
        options: dict[str, Any] = reuse_options
        super().__init__(
            limit=0,
            **options,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self._new_socket,
        )
        self._on_opened = on_opened
        self._idle_limits = idle_limits or IdleLimits()

    @property
    def idle(self) -> int:
        """Return how many connections are idle."""
        return sum(len(pairs) for pairs in self._conns.values())

    @property
    def open(self) -> int:
        """Return how many connections are open."""
        return len(self._acquired) + self.idle

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while True:
            connection = await super()._get(key, traces)
            if connection is None or connection.protocol is None or _usable(connection.protocol):
                return connection
            connection.close()

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        if isinstance(protocol, TargetProtocol):
            protocol.start_idle(steadyclock.now_s())
        if not self._may_keep_idle(key):
            self._close_unusable()
        surplus = not self._may_keep_idle(key)
        super()._release(key, protocol, should_close=should_close or surplus)

    def _may_keep_idle(self, key: ConnectionKey) -> bool:
        return self._idle_limits.allow(self.idle, len(self._conns.get(key, ())))

    def _close_unusable(self) -> None:
        """Close connections that were idle too long; the library does so only every 15 s."""
        now_s = steadyclock.now_s()
        for key, idle in list(self._conns.items()):
            for pair in [candidate for candidate in idle if not _usable_at(candidate[0], now_s)]:
                idle.remove(pair)
                if pair[0].transport is not None:
                    pair[0].transport.close()
            if not idle:
                del self._conns[key]

    def _new_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        self._on_opened()
        return _target_socket(info)


def _usable(protocol: ResponseHandler) -> bool:
    return _usable_at(protocol, steadyclock.now_s())


def _usable_at(protocol: ResponseHandler, now_s: float) -> bool:
    return (
        isinstance(protocol, TargetProtocol)
        and protocol.is_connected()
        and protocol.is_reusable(now_s)
    )


def _target_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    new_socket = socket.socket(family, kind, protocol)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return new_socket


__all__ = ["TargetConnector", "TargetProtocol"]
