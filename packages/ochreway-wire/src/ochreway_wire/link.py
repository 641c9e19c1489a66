# SPDX-License-Identifier: Apache-2.0
"""One link: a websocket that carries batches in both directions."""

import asyncio
from collections.abc import Callable

from cbor2 import CBOREncodeError
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ochreway_core.errors import CodecError
from ochreway_core.ids import Version
from ochreway_core.peer import Peer
from ochreway_wire.batch import Batch, decode_batch, encode_batch
from ochreway_wire.errors import BatchInvalid

MAX_QUEUED_MESSAGES = 100_000
"""Bounds the messages that wait to be sent; a link that exceeds it is aborted."""
MESSAGES_PER_BATCH = 4096
CLOSE_TIMEOUT_S = 0.3
"""Bounds how long the peer may take to receive queued messages and close: a few round trips.

A peer that is stopped or unreachable does neither and would delay the exit of this process.
"""


class Link:
    """Own a websocket; flush immediately when idle, otherwise once per tick."""

    def __init__(
        self,
        socket: Connection,
        peer: Peer,
        version: Callable[[], Version],
        tick_s: float,
        on_error: Callable[[str, BaseException], None],
    ) -> None:
        self.peer = peer
        self._socket = socket
        self._version = version
        self._tick_s = tick_s
        self._on_error = on_error
        self._queue: list[object] = []
        self._wake = asyncio.Event()
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message: object) -> bool:
        """Queue a message; return False if the queue is full and the link was aborted."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self.abort()
            return False
        self._queue.append(message)
        self._wake.set()
        return True

    async def run_writer(self) -> None:
        """Send queued messages until the link closes; an error closes it and is reported."""
        loop = asyncio.get_running_loop()
        last_flush_s = 0.0
        try:
            while True:
                await self._wake.wait()
                wait_s = last_flush_s + self._tick_s - loop.time()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self._wake.clear()
                last_flush_s = loop.time()
                await self._flush()
        except ConnectionClosed:
            return
        except Exception as error:
            self._on_error("link_writer", error)

    async def _flush(self) -> None:
        while self._queue:
            batch = self._queue[:MESSAGES_PER_BATCH]
            del self._queue[:MESSAGES_PER_BATCH]
            content = self._encode(batch)
            self.sent_bytes += len(content)
            await self._socket.send(content)

    def _encode(self, messages: list[object]) -> bytes:
        """Encode messages, leaving out those that cannot be encoded."""
        try:
            return encode_batch(self._version(), messages)
        except (CodecError, CBOREncodeError, ValueError):
            return encode_batch(self._version(), [m for m in messages if self._can_encode(m)])

    def _can_encode(self, message: object) -> bool:
        try:
            encode_batch(self._version(), [message])
        except (CodecError, CBOREncodeError, ValueError) as error:
            self._on_error(f"encode_{type(message).__name__}", error)
            return False
        return True

    async def run_reader(self, on_batch: Callable[[Peer, Batch], None]) -> None:
        """Pass received batches to ``on_batch`` until the link closes or violates the protocol."""
        try:
            async for content in self._socket:
                if not isinstance(content, bytes):
                    raise BatchInvalid("received a text message instead of a binary one")
                self.received_bytes += len(content)
                on_batch(self.peer, decode_batch(content))
        except (ConnectionClosed, BatchInvalid):
            return

    def abort(self) -> None:
        """Drop the connection without a closing handshake, as the peer may be unreachable."""
        self._socket.transport.abort()

    async def close(self) -> None:
        """Send queued messages and close; abort if the peer does not close in time."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._flush()
                await self._socket.close()
        except ConnectionClosed:
            return
        except TimeoutError:
            self.abort()


__all__ = ["Link"]
