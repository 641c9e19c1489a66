# SPDX-License-Identifier: Apache-2.0
"""What a call that has ended leaves behind: no memory that is freed late, no unsent request."""

import asyncio
import contextlib
import gc
import socket
from collections import Counter
from typing import Any

from ochreway_direct.relay import targetprotocol
from ochreway_direct.relay.call import Call
from tests.direct.relaycase import RelayCase, RunningRelay
from tests.direct.test_relay import good

BODY_BYTES = 3_000_000
KERNEL_BUFFER_BYTES = 16 * 1024


class EndedCallTests(RelayCase):
    def test_an_answered_call_is_freed_without_the_collector(self) -> None:
        # Guards against cycles, in which the heads and bodies of all recent requests stay for long.
        async def work(running: RunningRelay) -> None:
            for _ in range(3):
                await running.send_request()
            await running.caller.close()
            await asyncio.sleep(0.1)
            gc.collect()
            gc.disable()
            try:
                kept = Counter(type(each).__name__ for each in gc.get_objects())[Call.__name__]
                status, _ = await ask_once(running)
                await asyncio.sleep(0.1)
                after = Counter(type(each).__name__ for each in gc.get_objects())[Call.__name__]
            finally:
                gc.enable()
            self.assertEqual((200, kept), (status, after))

        self.run_with_relay(work, good)

    def test_a_request_that_its_caller_gives_up_is_not_kept_for_a_slow_target(self) -> None:
        opened = targetprotocol._target_socket

        def small(info: Any) -> socket.socket:
            made = opened(info)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
            return made

        self.patch(targetprotocol, "_target_socket", small)
        received = 0
        ended = asyncio.Event()

        async def reads_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal received
            await asyncio.sleep(1.0)
            with contextlib.suppress(ConnectionError):
                while piece := await reader.read(65536):
                    received += len(piece)
            ended.set()
            writer.close()

        async def work(running: RunningRelay) -> None:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
            listener.bind(("127.0.0.1", 0))
            server = await asyncio.start_server(reads_late, sock=listener, limit=1024)
            running.targets[0].address = f"127.0.0.1:{listener.getsockname()[1]}"
            running.list_targets()
            running.body = b"b" * BODY_BYTES
            asking = asyncio.ensure_future(running.send_request())
            await asyncio.sleep(0.3)
            asking.cancel()
            await asyncio.wait_for(ended.wait(), 10.0)
            server.close()

        self.run_with_relay(work, good)
        self.assertLess(received, BODY_BYTES)


async def ask_once(running: RunningRelay) -> tuple[int, bytes]:
    """Send one request over a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    writer.write(
        b"POST /a/x HTTP/1.1\r\nHost: care.example\r\nRequest: r9\r\nKey: secret\r\n"
        b"Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    )
    answer = await reader.read()
    writer.close()
    return int(answer.split(b" ")[1]), answer
