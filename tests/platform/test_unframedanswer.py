# SPDX-License-Identifier: Apache-2.0
"""An agent's target answers with neither a length nor chunks, and its connection is reset.

Guards against the beginning of such an answer being passed on as the whole of it.
"""

import asyncio
import socket
import struct

import aiohttp
import testtools

from ochreway_core.attemptid import AttemptId
from ochreway_core.chunk import Chunk
from ochreway_core.ids import (
    Epoch,
    GroupId,
    Incarnation,
    NodeId,
    OrganisationId,
    RequestId,
    TargetName,
    Version,
)
from ochreway_core.messages import Submit
from ochreway_core.priority import Priority
from ochreway_core.targetkind import TargetKind
from ochreway_platform.errors import TargetBroke
from ochreway_platform.httptarget import HttpTarget
from ochreway_platform.resetaware import ResetAwareConnector

LINGER_RESET = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
PAUSE_S = 0.05


def submit() -> Submit:
    return Submit(
        attempt=AttemptId(NodeId("e"), Incarnation(1), 1),
        request=RequestId("r1"),
        version=Version(1),
        incarnation=Incarnation(1),
        group=GroupId("g"),
        epoch=Epoch(1),
        organisation=OrganisationId("ann"),
        target=TargetName("roster"),
        priority=next(iter(Priority)),
        expires_in_s=5.0,
        prompt_tokens=1,
        max_tokens=1,
        blocks=(),
        method="POST",
        path="/x",
        body=b"",
    )


class UnframedAnswerTests(testtools.TestCase):
    def run_against(self, resets: bool) -> bytes:
        """Return the answer of a target that ends its connection after a part of the body."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"a part")
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            if resets:
                connection = writer.transport.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                writer.transport.abort()
            else:
                writer.close()

        async def run() -> bytes:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
            chunks: list[Chunk] = []
            async with aiohttp.ClientSession(connector=ResetAwareConnector(limit=0)) as session:
                target = HttpTarget(session, url, TargetKind.SERVICE)
                try:
                    async for chunk in target.run(submit(), lambda: True):
                        chunks.append(chunk)
                finally:
                    server.close()
            self.assertTrue(chunks[-1].last)
            return b"".join(chunk.payload for chunk in chunks)

        return asyncio.run(run())

    def test_an_answer_that_ends_with_its_connection_is_whole(self) -> None:
        self.assertEqual(b"a part", self.run_against(resets=False))

    def test_an_answer_whose_connection_is_reset_is_broken(self) -> None:
        self.assertRaises(TargetBroke, self.run_against, resets=True)
