# SPDX-License-Identifier: Apache-2.0
"""Connections to the links' port whose peer never proves that it holds the key."""

import asyncio
import contextlib

import testtools

from ochreway_core.ids import NodeId, Version
from ochreway_core.peer import Peer
from ochreway_wire import unproven
from ochreway_wire.links import Links, LinkSettings

OPENING = (
    b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
FRAME = b"\x82\xff" + (7_000_000).to_bytes(8, "big") + bytes(4)


class UnprovenTests(testtools.TestCase):
    def links(self, name: str, on_unproven: object = None) -> Links:
        settings = LinkSettings(b"key")
        count = on_unproven or (lambda: None)
        return Links(
            *(Peer(NodeId(name), ""), settings, lambda: Version(1)),
            *(lambda sender, batch: None, lambda node: None),
            on_unproven=count,  # type: ignore[arg-type]
        )

    def test_the_oldest_of_too_many_gives_way_and_a_peer_still_links(self) -> None:
        aborted: list[None] = []

        async def run() -> None:
            accepting = self.links("a", lambda: aborted.append(None))
            port = await accepting.listen("127.0.0.1", 0)
            silent = [
                await asyncio.open_connection("127.0.0.1", port)
                for _ in range(unproven.MAX_UNPROVEN + 5)
            ]
            dialling = self.links("b")
            dialling.dial_address(f"127.0.0.1:{port}")
            async with asyncio.timeout(10.0):
                while not len(accepting):
                    await asyncio.sleep(0.01)
            for _, writer in silent:
                writer.transport.abort()
            await dialling.close()
            await accepting.close()

        asyncio.run(run())
        self.assertGreaterEqual(len(aborted), 5)

    def test_what_unproven_peers_send_is_bounded_in_sum(self) -> None:
        self.patch(unproven, "MAX_UNPROVEN_BYTES", 500_000)
        aborted: list[None] = []

        async def run() -> None:
            accepting = self.links("a", lambda: aborted.append(None))
            port = await accepting.listen("127.0.0.1", 0)
            opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
            for _, writer in opened:
                with contextlib.suppress(ConnectionError):
                    writer.write(OPENING + FRAME + bytes(400_000))
                    await writer.drain()
            async with asyncio.timeout(10.0):
                while len(aborted) < 3:
                    await asyncio.sleep(0.01)
            for _, writer in opened:
                writer.transport.abort()
            await accepting.close()

        asyncio.run(run())
        self.assertGreaterEqual(len(aborted), 3)
