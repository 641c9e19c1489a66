# SPDX-License-Identifier: Apache-2.0
"""A server for clients over real sockets, whose handler counts the requests that it got."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import testtools
from aiohttp import web

from ochreway_runtime.clients.clientaccount import ClientAccount
from ochreway_runtime.clients.clientserver import ClientServer
from ochreway_runtime.clients.connectionlimits import ConnectionLimits
from ochreway_runtime.clients.listener import Listener
from ochreway_runtime.clients.socketbuffers import listening_socket
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LAST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
BACKLOG = 64


class RunningServer:
    """Answer each request with its path; the account has its own limit."""

    def __init__(self, limits: ConnectionLimits, limit_bytes: int, max_open: int | None) -> None:
        self.log = RecordedLog()
        self.metrics = Metrics(None, "test")
        self.account = ClientAccount(self.log, self.metrics, limit_bytes)
        self.paths: list[str] = []
        self.may_answer = asyncio.Event()
        server = ClientServer(
            self._answer,
            self.account,
            Listener("test", max_open),
            limits,
            handler_cancellation=True,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)

    async def start(self) -> None:
        await self._runner.setup()
        listener = listening_socket("127.0.0.1", 0, BACKLOG)
        self.port = listener.getsockname()[1]
        await web.SockSite(self._runner, listener).start()

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        self.paths.append(request.path)
        if request.path == "/slow":
            await self.may_answer.wait()
        if request.path == "/body":
            return web.Response(text=str(len(await request.read())))
        return web.Response(text=request.path)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send(self, *parts: bytes) -> bytes:
        """Send parts one after the other; return all that comes until the connection is closed."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        answer = b""
        try:
            while piece := await reader.read(4096):
                answer += piece
        except ConnectionError:
            return answer
        finally:
            writer.close()
        return answer

    async def connected(self, connection: socket.socket) -> None:
        """Connect a socket that reads only when it is told to."""
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", self.port))


class ServerCase(testtools.TestCase):
    limits = ConnectionLimits(header_bytes=2000, header_timeout_s=0.4, idle_timeout_s=5.0)
    limit_bytes = 4_000_000
    max_open: int | None = None

    def run_server(self, work: Callable[[RunningServer], Awaitable[None]]) -> None:
        async def run() -> None:
            running = RunningServer(self.limits, self.limit_bytes, self.max_open)
            await running.start()
            try:
                await work(running)
            finally:
                await running.stop()
            self.assertEqual(0, running.account.total_bytes)

        asyncio.run(run())


__all__ = ["GET", "LAST", "RunningServer", "ServerCase"]
