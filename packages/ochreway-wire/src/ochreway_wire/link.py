# SPDX-License-Identifier: Apache-2.0
"""One link: a websocket that carries batches both ways."""

import asyncio
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ochreway_core.ids import Version
from ochreway_core.peer import Peer
from ochreway_wire.batch import Batch, decode_batch, encode_batch
from ochreway_wire.errors import BatchInvalid

MAX_QUEUED_MESSAGES = 100_000
MESSAGES_PER_BATCH = 4096
CLOSE_TIMEOUT_S = 0.3
"""How long the other end has to take what is queued and to agree to close: a few round trips.

One that is stopped or cut off does neither, and would hold up a process that has to end.
"""


class Link:
    """Own a websocket; flush at once when idle, else once a tick."""

    def __init__(
        self, socket: Connection, peer: Peer, version: Callable[[], Version], tick_s: float
    ) -> None:
        self.peer = peer
        self._socket = socket
        self._version = version
        self._tick_s = tick_s
        self._queue: list[object] = []
        self._wake = asyncio.Event()
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message: object) -> bool:
        """Queue a message; False when too many wait and the link is given up."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self.abort()
            return False
        self._queue.append(message)
        self._wake.set()
        return True

    async def run_writer(self) -> None:
        """Send what is queued until the link ends."""
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

    async def _flush(self) -> None:
        while self._queue:
            batch = self._queue[:MESSAGES_PER_BATCH]
            del self._queue[:MESSAGES_PER_BATCH]
            content = encode_batch(self._version(), batch)
            self.sent_bytes += len(content)
            await self._socket.send(content)

    async def run_reader(self, on_batch: Callable[[Peer, Batch], None]) -> None:
        """Pass on what comes until the link ends or breaks the protocol."""
        try:
            async for content in self._socket:
                if not isinstance(content, bytes):
                    raise BatchInvalid("text")
                self.received_bytes += len(content)
                on_batch(self.peer, decode_batch(content))
        except (ConnectionClosed, BatchInvalid):
            return

    def abort(self) -> None:
        """Break off without a word, as the other end may not be there."""
        self._socket.transport.abort()

    async def close(self) -> None:
        """Send what is queued and close; break off when the other end does not follow in time."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._flush()
                await self._socket.close()
        except ConnectionClosed:
            return
        except TimeoutError:
            self.abort()


__all__ = ["Link"]
