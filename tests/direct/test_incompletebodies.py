# SPDX-License-Identifier: Apache-2.0
"""Bodies that do not end while memory is short: the largest gives way to smaller ones."""

import asyncio
from typing import Any

from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.configuration import CallerLimits
from tests.direct.relaycase import RelayCase, RunningRelay
from tests.direct.test_relay import good

HEAD = b"POST /a/x HTTP/1.1\r\nHost: care.example\r\nRequest: r1\r\nKey: secret\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n"
MB = 1_000_000


class IncompleteBodyTests(RelayCase):
    held = HeldLimits(total_bytes=4 * MB)
    limits = CallerLimits(idle_timeout_s=30.0)

    async def begin(self, running: RunningRelay, size_bytes: int) -> Any:
        """Send all of a body but its last byte; return the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(HEAD + LENGTH % (size_bytes + 1) + b"b" * size_bytes)
        return reader, writer

    async def held_bytes(self, running: RunningRelay, wanted: int) -> None:
        """Wait until so many bytes are held."""
        assert running.buffers is not None
        async with asyncio.timeout(10.0):
            while running.buffers.gauges()["held_bytes"] != wanted:
                await asyncio.sleep(0.01)

    def test_the_largest_unfinished_body_gives_way_to_a_smaller_one(self) -> None:
        async def work(running: RunningRelay) -> None:
            large = await self.begin(running, 2 * MB)
            await self.held_bytes(running, 2 * MB)
            small = await self.begin(running, MB // 2)
            await self.held_bytes(running, 2 * MB + MB // 2)
            running.body = b"b" * MB
            self.assertEqual(200, (await running.send_request()).status)
            answer = await large[0].read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:200])
            small[1].write(b"b")
            self.assertTrue((await small[0].readline()).startswith(b"HTTP/1.1 200"))
            self.assertEqual(1, running.metrics.counters["body.given_up"])
            small[1].close()

        self.run_with_relay(work, good)

    def test_a_larger_body_than_all_others_is_refused_itself(self) -> None:
        async def work(running: RunningRelay) -> None:
            begun = [await self.begin(running, MB) for _ in range(2)]
            await self.held_bytes(running, 2 * MB)
            running.body = b"b" * (MB + MB // 2)
            self.assertEqual(503, (await running.send_request()).status)
            for reader, writer in begun:
                writer.write(b"b")
                self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 200"))
                writer.close()

        self.run_with_relay(work, good)
