# SPDX-License-Identifier: Apache-2.0
import asyncio
from collections.abc import Awaitable, Callable

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.ids import GroupId, NodeId, Version
from ochreway_core.messages import Follow
from ochreway_core.peer import Peer
from ochreway_standins.site import free_port
from ochreway_wire.batch import Batch, decode_batch, encode_batch
from ochreway_wire.errors import BatchInvalid, HandshakeRefused
from ochreway_wire.handshake import compute_proof, decode_hello, verify_proof
from ochreway_wire.links import Links, LinkSettings

KEY = b"k" * 32


class End:
    def __init__(self, name: str, key: bytes = KEY, compressed: bool = False) -> None:
        self.peer = Peer(NodeId(name), f"127.0.0.1:{free_port()}")
        self.received: list[tuple[str, int, object]] = []
        self.down: list[str] = []
        self.errors: list[str] = []
        self.links = Links(
            self.peer,
            LinkSettings(key, compressed=compressed),
            lambda: Version(7),
            self._record_batch,
            self.down.append,
            on_error=lambda name, _: self.errors.append(name),
        )

    def _record_batch(self, sender: Peer, batch: Batch) -> None:
        self.received += [(sender.node, batch.version, each) for each in batch.messages]

    async def listen(self) -> None:
        await self.links.listen("127.0.0.1", int(self.peer.address.rpartition(":")[2]))


async def wait_until(check: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(0.01)


def run_with_two_ends(
    work: Callable[[End, End], Awaitable[None]],
    key: bytes = KEY,
    compressed: tuple[bool, bool] = (False, False),
) -> None:
    async def main() -> None:
        one = End("one", compressed=compressed[0])
        other = End("other", key, compressed[1])
        await one.listen()
        await other.listen()
        try:
            await work(one, other)
        finally:
            await one.links.close()
            await other.links.close()

    asyncio.run(main())


class LinksTests(testtools.TestCase):
    def test_one_link_carries_both_ways_with_the_version(self) -> None:
        async def work(one: End, other: End) -> None:
            for number in range(100):
                one.links.send(other.peer, Follow(GroupId(str(number))))
            await wait_until(lambda: len(other.received) == 100)
            self.assertEqual(("one", 7, Follow(GroupId("0"))), other.received[0])
            other.links.send(one.peer, Follow(GroupId("back")))
            await wait_until(lambda: bool(one.received))
            self.assertEqual((1, 1), (len(one.links), len(other.links)))

        run_with_two_ends(work)

    def test_links_are_compressed_only_where_both_ends_want_it(self) -> None:
        async def work(one: End, other: End) -> None:
            for number in range(100):
                one.links.send(other.peer, Follow(GroupId(str(number))))
            await wait_until(lambda: len(other.received) == 100)
            self.assertEqual(("one", 7, Follow(GroupId("99"))), other.received[99])

        for compressed in ((True, True), (True, False), (False, True)):
            run_with_two_ends(work, compressed=compressed)

    def test_a_message_that_cannot_be_encoded_ends_no_link(self) -> None:
        # One row's text that is no UTF-8 ended the task that sends, and the link stayed silent.
        async def work(one: End, other: End) -> None:
            for name in ("before", "\ud800", "after"):
                one.links.send(other.peer, Follow(GroupId(name)))
            await wait_until(lambda: len(other.received) == 2)
            self.assertEqual(
                [Follow(GroupId("before")), Follow(GroupId("after"))],
                [message for _, _, message in other.received],
            )
            self.assertEqual(["encode_Follow"], one.errors)

        run_with_two_ends(work)

    def test_order_is_kept(self) -> None:
        async def work(one: End, other: End) -> None:
            for number in range(5000):
                one.links.send(other.peer, Follow(GroupId(str(number))))
                if number % 500 == 0:
                    await asyncio.sleep(0.002)
            await wait_until(lambda: len(other.received) >= 1024)
            await asyncio.sleep(0.3)
            numbers = [int(message.group) for _, _, message in other.received]  # type: ignore[attr-defined]
            self.assertEqual(sorted(numbers), numbers)

        run_with_two_ends(work)

    def test_another_key_is_refused(self) -> None:
        async def work(one: End, other: End) -> None:
            one.links.send(other.peer, Follow(GroupId("x")))
            await wait_until(lambda: one.down == ["other"])
            self.assertEqual([], other.received)

        run_with_two_ends(work, key=b"z" * 32)

    def test_a_failed_dial_is_reported_as_link_down(self) -> None:
        async def work(one: End, other: End) -> None:
            one.links.send(Peer(NodeId("ghost"), "127.0.0.1:1"), Follow(GroupId("x")))
            await wait_until(lambda: one.down == ["ghost"])

        run_with_two_ends(work)

    def test_a_link_closed_by_the_peer_is_reported_as_link_down(self) -> None:
        async def work(one: End, other: End) -> None:
            one.links.send(other.peer, Follow(GroupId("x")))
            await wait_until(lambda: bool(other.received))
            await other.links.close()
            await wait_until(lambda: one.down == ["other"])

        run_with_two_ends(work)

    def test_close_does_not_wait_for_an_unresponsive_peer(self) -> None:
        async def work(one: End, other: End) -> None:
            one.links.send(other.peer, Follow(GroupId("x")))
            await wait_until(lambda: bool(other.received))
            link = other.links._links[one.peer.node]
            link._socket.transport.pause_reading()  # Acts like a stopped process.
            async with asyncio.timeout(8.0):
                await one.links.close()
            link._socket.transport.abort()

        run_with_two_ends(work)

    def test_a_dropped_link_is_dialled_anew(self) -> None:
        async def work(one: End, other: End) -> None:
            one.links.send(other.peer, Follow(GroupId("x")))
            await wait_until(lambda: bool(other.received))
            one.links.drop(other.peer.node)
            await wait_until(lambda: one.down == ["other"] and other.down == ["one"])
            one.links.send(other.peer, Follow(GroupId("y")))
            await wait_until(lambda: len(other.received) == 2)

        run_with_two_ends(work)

    def test_send_all_sends_the_message_to_each_peer(self) -> None:
        async def work(one: End, other: End) -> None:
            one.links.send_all([other.peer, other.peer], Follow(GroupId("x")))
            await wait_until(lambda: len(other.received) == 2)
            self.assertEqual(("one", 7, Follow(GroupId("x"))), other.received[1])

        run_with_two_ends(work)


class BatchTests(testtools.TestCase):
    def test_unknown_message_is_refused(self) -> None:
        content = encode_batch(Version(1), [Follow(GroupId("g"))])
        broken = content.replace(b"\x82\x08", b"\x82\x18\xfa")
        self.assertNotEqual(content, broken)
        self.assertRaises(BatchInvalid, decode_batch, broken)

    @given(st.binary(max_size=100))
    def test_any_bytes_are_read_or_refused(self, content: bytes) -> None:
        try:
            decode_batch(content)
        except BatchInvalid:
            return


class HandshakeTests(testtools.TestCase):
    def test_own_proof_fed_back_is_refused(self) -> None:
        mine = compute_proof(KEY, b"mine", b"theirs")
        self.assertRaises(HandshakeRefused, verify_proof, KEY, b"theirs", b"mine", mine)

    @given(st.binary(max_size=60))
    def test_any_hello_is_read_or_refused(self, content: bytes) -> None:
        try:
            decode_hello(content)
        except HandshakeRefused:
            return
