# SPDX-License-Identifier: Apache-2.0
"""Kept connections to targets that never confuse one answer with another."""

import functools
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

UNANSWERED_MS = 2000
"""After how long without an acknowledgement the kernel gives a connection to a target up."""


class TargetProtocol(ResponseHandler):
    """Fail an answer without a length that ends in a reset; it may not be whole."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break the answer under way before the parser can take the end for its own."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc}"))
        super().connection_lost(exc)


class TargetConnector(aiohttp.TCPConnector):
    """Reuse a connection only if nothing came on it after the last whole answer."""

    def __init__(self, kept_s: float | None) -> None:
        """Keep idle connections for so long, or none at all."""
        keeping: dict[str, Any] = {"force_close": True}
        if kept_s is not None:
            keeping = {"keepalive_timeout": kept_s}
        super().__init__(
            limit=0,
            **keeping,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=_target_socket,
        )
        factory: Any = functools.partial(TargetProtocol, loop=self._loop)
        self._factory = factory

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while True:
            found = await super()._get(key, traces)
            if found is None or found.protocol is None or not found.protocol.should_close:
                return found
            found.close()


def _target_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNANSWERED_MS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


__all__ = ["TargetConnector", "TargetProtocol"]
