# SPDX-License-Identifier: Apache-2.0
"""Accepted connections whose peer has not proved yet that it holds the key."""

from collections.abc import Callable
from typing import Any

from websockets.asyncio.server import ServerConnection

MAX_UNPROVEN = 64
"""More than all peers that dial a process at the same moment."""
MAX_UNPROVEN_BYTES = 4 * 1024 * 1024
"""Received bytes of all of them together: hellos and proofs, and what peers send right after them
while this process stalls."""


class UnprovenConnections:
    """Bound the number of unproven connections, and what they have sent in sum."""

    def __init__(self, on_aborted: Callable[[], None]) -> None:
        """Start without connections; ``on_aborted`` is called with each that is aborted."""
        self._received_bytes: dict[LinkConnection, int] = {}
        self._on_aborted = on_aborted

    def add(self, connection: "LinkConnection") -> None:
        """Follow a new connection; if there are too many, abort the oldest."""
        self._received_bytes[connection] = 0
        if len(self._received_bytes) > MAX_UNPROVEN:
            self._abort(next(iter(self._received_bytes)))

    def discard(self, connection: "LinkConnection") -> None:
        """Stop following a connection, as its peer is known or it is closed."""
        self._received_bytes.pop(connection, None)

    def may_receive(self, connection: "LinkConnection", size_bytes: int) -> bool:
        """Count what arrived; abort those that sent most while the sum is too large."""
        if connection not in self._received_bytes:
            return not connection.is_aborted
        self._received_bytes[connection] += size_bytes
        while sum(self._received_bytes.values()) > MAX_UNPROVEN_BYTES:
            self._abort(max(self._received_bytes, key=self._received_bytes.__getitem__))
        return not connection.is_aborted

    def _abort(self, connection: "LinkConnection") -> None:
        del self._received_bytes[connection]
        connection.is_aborted = True
        connection.transport.abort()
        self._on_aborted()


class LinkConnection(ServerConnection):
    """An accepted connection, which is followed until its peer is known."""

    def __init__(self, unproven: UnprovenConnections, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._unproven = unproven
        self.is_aborted = False

    def connection_made(self, transport: Any) -> None:
        """Follow the connection."""
        super().connection_made(transport)
        self._unproven.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop following the connection."""
        self._unproven.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take what arrived, unless too much did before the peer is known."""
        if self._unproven.may_receive(self, len(data)):
            super().data_received(data)


__all__ = ["MAX_UNPROVEN", "MAX_UNPROVEN_BYTES", "LinkConnection", "UnprovenConnections"]
