# SPDX-License-Identifier: Apache-2.0
"""A caller's connection as the reader of what is written to it."""

import asyncio
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

import aiohttp

from ochreway_core.reason import Reason
from ochreway_direct.buffering.unacknowledged import unacknowledged_bytes
from ochreway_direct.buffering.unreadanswers import UnreadAnswers

ROOM_POLL_INTERVAL_S = 0.01
"""How often it is checked whether a caller has read; its buffer lasts for longer at any usual
rate."""


@runtime_checkable
class EndedConnection(Protocol):
    """A connection that reports the requests which its end leaves unanswered."""

    def record_end(self, reason: Reason) -> None:
        """Record why this process is about to abort the connection."""


@dataclass(slots=True, eq=False)
class CallerReader:
    """Hold a caller's transport, whose buffer keeps what was read ahead, and what is unread.

    Answers on one connection follow each other in one buffer, so the reader is the connection.
    While the buffer is full, ``_source`` is the target's answer of which nothing is taken. The
    connection is watched until ``keep_until_s`` even if nothing is unread, as a whole answer is
    written a little later than it is handed over.
    """

    transport: asyncio.Transport
    unread: UnreadAnswers
    keep_until_s: float = 0.0
    _source: aiohttp.StreamReader | None = None
    _taken_bytes: int = 0
    _unacknowledged_bytes: int = 0

    def pending_bytes(self) -> int:
        """Return the number of bytes that are held for the caller now."""
        pending_bytes = self.transport.get_write_buffer_size()
        if self._source is not None:
            pending_bytes += self._source.total_bytes - self._taken_bytes
        return pending_bytes

    def record_progress(self, now_s: float) -> None:
        """Record that the caller has read, if it took bytes of the kernel's buffer since last time.

        The kernel asks for more only once a third of its buffer is free, which takes a steady
        caller several seconds at a low rate.
        """
        before_bytes = self._unacknowledged_bytes
        self._unacknowledged_bytes = unacknowledged_bytes(self.transport)
        if self._unacknowledged_bytes < before_bytes:
            self.unread.moved_s = now_s

    def end(self) -> None:
        """Abort the connection, so that its answers visibly break off."""
        protocol = self.transport.get_protocol()
        if isinstance(protocol, EndedConnection):
            protocol.record_end(Reason.CALLER_STALLED)
        self.transport.abort()

    async def wait_for_room(self, limit_bytes: int, source: aiohttp.StreamReader) -> None:
        """Wait until no more than a limit is unread, and count what arrives from a source.

        All that the source has received so far was taken from it. The wait leaves nothing behind
        when it is cancelled, unlike a cancelled drain of the connection, which fails later ones.

        Raises:
            ConnectionResetError: if the connection is closed.
        """
        self._source, self._taken_bytes = source, source.total_bytes
        try:
            while self.transport.get_write_buffer_size() > limit_bytes:
                if self.transport.is_closing():
                    raise ConnectionResetError("caller's connection is closed")
                await asyncio.sleep(ROOM_POLL_INTERVAL_S)
        finally:
            self._source = None


__all__ = ["CallerReader"]
