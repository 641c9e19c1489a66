# SPDX-License-Identifier: Apache-2.0
"""Many clients that send one shape, each opening its connection again when it is closed."""

import asyncio
import contextlib
import socket

from ochreway_standins.crowd.shape import Shape

KERNEL_BUFFER_BYTES = 64 * 1024
"""Keeps what a client could not deliver yet out of the way of what the process holds."""
REOPEN_PAUSE_S = 0.01
READ_BYTES = 64 * 1024


class Crowd:
    """Send a shape over a number of connections for a bounded time."""

    def __init__(self, address: str, shape: Shape, connections: int) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._shape = shape
        self._connections = connections
        self.opened = 0
        self.sent_bytes = 0

    async def run(self, seconds: float) -> None:
        """Keep every connection busy until the time is over, then close all of them."""
        clients = [asyncio.create_task(self._client()) for _ in range(self._connections)]
        await asyncio.sleep(seconds)
        for each in clients:
            each.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _client(self) -> None:
        while True:
            with contextlib.suppress(OSError), socket.socket() as connection:
                connection.setblocking(False)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
                await asyncio.get_running_loop().sock_connect(connection, self._address)
                self.opened += 1
                await self._use(connection)
            await asyncio.sleep(REOPEN_PAUSE_S)

    async def _use(self, connection: socket.socket) -> None:
        reading = asyncio.create_task(self._read(connection)) if self._shape.reads else None
        try:
            await self._send(connection, self._shape.opening)
            while self._shape.repeated and (reading is None or not reading.done()):
                await self._send(connection, self._shape.repeated)
            if reading is not None:
                await reading
        finally:
            if reading is not None:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)

    async def _send(self, connection: socket.socket, content: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(connection, content)
        self.sent_bytes += len(content)
        await asyncio.sleep(0)

    async def _read(self, connection: socket.socket) -> None:
        while await asyncio.get_running_loop().sock_recv(connection, READ_BYTES):
            pass


__all__ = ["Crowd"]
