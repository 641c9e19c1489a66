# SPDX-License-Identifier: Apache-2.0
"""Callers and targets that read slowly, over real sockets with small kernel buffers."""

import asyncio
import contextlib
import re
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from ochreway_core.ids import GroupId
from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.configuration import CallerLimits, RouteKind
from ochreway_direct.relay import targetprotocol
from ochreway_standins.engineworld import LARGE
from tests.direct.relaycase import (
    LAST_CHUNK,
    Headers,
    RelayCase,
    RunningRelay,
    Script,
    complete_response,
    event_chunk,
    response_head,
    stream_response_head,
)

KERNEL_BUFFER_BYTES = 8 * 1024
EVENT_BYTES = 4 * 1024
ONE_READ_BYTES = 256 * 1024
"""What a transport takes from its socket at once."""
Writer = asyncio.StreamWriter


def large_chunk(number: int) -> bytes:
    content = f"id: {number}\ndata: ".encode().ljust(EVENT_BYTES - 2, b"x") + b"\n\n"
    return f"{len(content):x}\r\n".encode() + content + b"\r\n"


class LargeStream:
    """Script of a target that sends large events as fast as they are taken."""

    def __init__(self, events: int, ends: bool = True) -> None:
        self.events = events
        self.ends = ends
        self.sent = 0
        self.all_taken = asyncio.Event()
        self.cut_off = asyncio.Event()

    async def __call__(self, headers: Headers, writer: Writer) -> None:
        first = int(headers.get("after", 0)) + 1
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(stream_response_head(headers))
        try:
            for number in range(first, self.events + 1):
                writer.write(large_chunk(number))
                await writer.drain()
                self.sent = number
        except ConnectionError:
            self.cut_off.set()
            raise
        self.all_taken.set()
        if not self.ends:
            writer.close()
            return
        writer.write(LAST_CHUNK)


class SlowCaller:
    """A caller that reads only when told to."""

    def __init__(self, running: RunningRelay, buffer_bytes: int = KERNEL_BUFFER_BYTES) -> None:
        self._running = running
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.socket.setblocking(False)

    async def ask(self, request: str = "r1") -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, ("127.0.0.1", self._running.port))
        head = (
            f"POST /a/x HTTP/1.1\r\nHost: care.example\r\nRequest: {request}\r\nKey: secret\r\n"
            f"Model: {LARGE.name}\r\nContent-Length: 0\r\n\r\n"
        )
        await loop.sock_sendall(self.socket, head.encode())

    async def read_rest(self, until: bytes = b"0\r\n\r\n") -> tuple[bytes, bool]:
        """Return what comes, and whether the answer is complete."""
        received = b""
        loop = asyncio.get_running_loop()
        while not received.endswith(until):
            try:
                piece = await asyncio.wait_for(loop.sock_recv(self.socket, 65536), 3.0)
            except ConnectionError:
                return received, False
            if not piece:
                return received, False
            received += piece
        return received, True


def ids_in(received: bytes) -> list[int]:
    return [int(each) for each in re.findall(rb"^id: (\d+)", received, re.MULTILINE)]


class SlowReaderCase(RelayCase):
    kind = RouteKind.STREAM
    resumable = True
    held = HeldLimits(total_bytes=8 * 1024 * 1024)

    def setUp(self) -> None:
        super().setUp()
        opened = targetprotocol._target_socket

        def small(info: Any) -> socket.socket:
            new_socket = opened(info)
            new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
            new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
            return new_socket

        self.patch(targetprotocol, "_target_socket", small)

    def run_slow(self, work: Callable[[RunningRelay], Awaitable[None]], *scripts: Script) -> None:
        """Run with small kernel buffers, and with checks of readers every 20 ms."""

        async def checked(running: RunningRelay) -> None:
            servers = [site._server for site in running.runner.sites]  # type: ignore[attr-defined]
            servers += [target.server for target in running.targets]
            for server in servers:
                for each in server.sockets:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
            checks = asyncio.ensure_future(self.check_readers(running))
            try:
                await work(running)
            finally:
                checks.cancel()

        self.run_with_relay(checked, *scripts)

    async def check_readers(self, running: RunningRelay) -> None:
        while running.buffers is not None:
            running.buffers.check(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)

    def held_bytes(self, running: RunningRelay) -> float:
        assert running.buffers is not None
        return running.buffers.gauges()["held_bytes"]

    def ended(self, running: RunningRelay) -> int:
        return running.metrics.counters.get("reader.ended", 0)

    async def wait_until(self, reached: Callable[[], bool]) -> None:
        async with asyncio.timeout(3.0):
            while not reached():
                await asyncio.sleep(0.01)


class WithoutBoundTests(SlowReaderCase):
    """Today's behaviour, which stays where memory is not bounded."""

    held = None  # type: ignore[assignment]

    def test_a_target_is_held_up_by_a_caller_that_pauses(self) -> None:
        stream = LargeStream(200)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.sleep(0.4)
            self.assertFalse(stream.all_taken.is_set())

        self.run_slow(work, stream)


class ReadAheadTests(SlowReaderCase):
    def test_a_target_is_not_held_up_by_a_caller_that_pauses(self) -> None:
        stream = LargeStream(200)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.wait_for(stream.all_taken.wait(), 2.0)
            await asyncio.sleep(0.2)
            self.assertGreater(self.held_bytes(running), 200 * EVENT_BYTES // 2)
            received, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 201)), ids_in(received))
            await self.wait_until(lambda: self.held_bytes(running) == 0)

        self.run_slow(work, stream)

    def test_an_answer_is_read_ahead_by_its_bound_and_no_further(self) -> None:
        stream = LargeStream(600)

        async def work(running: RunningRelay) -> None:
            assert self.held is not None
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.sleep(0.7)
            bound = self.held.answer_bytes
            self.assertGreaterEqual(self.held_bytes(running), 0.9 * bound)
            self.assertLessEqual(self.held_bytes(running), bound + 2 * ONE_READ_BYTES)
            self.assertFalse(stream.all_taken.is_set())
            received, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 601)), ids_in(received))
            self.assertEqual([], running.suspected)

        self.run_slow(work, stream)

    def test_the_pause_of_a_caller_at_the_bound_is_not_taken_for_silence_of_the_target(
        self,
    ) -> None:
        stream = LargeStream(600)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.sleep(1.5)
            received, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 601)), ids_in(received))
            self.assertEqual([1, 0], [len(target.seen) for target in running.targets])
            self.assertEqual([], running.suspected)

        self.run_slow(work, stream, LargeStream(600))

    def test_a_stream_that_breaks_while_read_ahead_resumes_without_gap_or_repetition(
        self,
    ) -> None:
        breaks, goes_on = LargeStream(100, ends=False), LargeStream(180)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.wait_for(goes_on.all_taken.wait(), 3.0)
            received, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 181)), ids_in(received))
            self.assertEqual("100", running.targets[1].seen[0]["after"])

        self.run_slow(work, breaks, goes_on)

    def test_an_answer_whose_caller_paused_for_long_resumes_as_its_group_is_lost(self) -> None:
        """Guards against the pause of a caller that is taken for silence towards it."""
        stream, goes_on = LargeStream(600), LargeStream(600)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.sleep(2.3)
            running.fleet.abandon(GroupId("g0"))
            await asyncio.sleep(0.05)
            received, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 601)), ids_in(received))
            self.assertEqual([1, 1], [len(target.seen) for target in running.targets])

        self.run_slow(work, stream, goes_on)

    def test_a_caller_that_leaves_frees_what_it_held_and_its_target(self) -> None:
        stream = LargeStream(2_000)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await self.wait_until(lambda: self.held_bytes(running) > 500_000)
            caller.socket.close()
            begun_s = asyncio.get_running_loop().time()
            await asyncio.wait_for(stream.cut_off.wait(), 1.0)
            await self.wait_until(lambda: self.held_bytes(running) == 0)
            self.assertLess(asyncio.get_running_loop().time() - begun_s, 0.3)
            self.assertEqual(0, running.relay.open_calls)

        self.run_slow(work, stream)


class EndAtTheBoundTests(SlowReaderCase):
    def test_nothing_follows_the_end_of_an_answer_that_waits_for_its_caller(self) -> None:
        for events in (262, 270):
            stream, same = LargeStream(events), LargeStream(events)

            async def work(running: RunningRelay, stream: LargeStream = stream) -> None:
                caller = SlowCaller(running)
                await caller.ask()
                await asyncio.wait_for(stream.all_taken.wait(), 2.0)
                running.fleet.abandon(GroupId("g0"))
                await asyncio.sleep(1.0)
                received, complete = await caller.read_rest()
                self.assertTrue(complete)
                self.assertEqual(list(range(1, stream.events + 1)), ids_in(received))
                loop = asyncio.get_running_loop()
                with contextlib.suppress(TimeoutError):
                    more = await asyncio.wait_for(loop.sock_recv(caller.socket, 10), 0.1)
                    self.assertEqual(b"", more)

            self.run_slow(work, stream, same)


class FastCallerTests(SlowReaderCase):
    def test_each_event_reaches_a_fast_caller_before_the_next_is_sent(self) -> None:
        received = asyncio.Event()

        async def stream(headers: Headers, writer: Writer) -> None:
            writer.write(stream_response_head(headers))
            for number in range(1, 21):
                received.clear()
                writer.write(event_chunk(number))
                await asyncio.wait_for(received.wait(), 1.0)
            writer.write(LAST_CHUNK)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            loop, whole = asyncio.get_running_loop(), b""
            while not whole.endswith(b"0\r\n\r\n"):
                whole += await asyncio.wait_for(loop.sock_recv(caller.socket, 65536), 1.0)
                received.set()
            self.assertEqual(list(range(1, 21)), ids_in(whole))
            self.assertEqual(0.0, self.held_bytes(running))

        self.run_slow(work, stream)


class StoppedReaderTests(SlowReaderCase):
    held = HeldLimits(total_bytes=8 * 1024 * 1024, slow_reader_s=0.4)

    def test_a_caller_that_stopped_reading_is_ended_and_its_target_is_free(self) -> None:
        stream = LargeStream(2_000)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.wait_for(stream.cut_off.wait(), 2.0)
            self.assertEqual(1, self.ended(running))
            received, complete = await caller.read_rest()
            self.assertFalse(complete)
            self.assertEqual(0.0, self.held_bytes(running))
            self.assertEqual([], running.suspected)
            self.assertEqual([1, 0], [len(target.seen) for target in running.targets])

        self.run_slow(work, stream, LargeStream(10))

    def test_a_caller_that_reads_slowly_but_steadily_is_not_ended(self) -> None:
        stream = LargeStream(200)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            loop, received = asyncio.get_running_loop(), b""
            for _ in range(10):
                await asyncio.sleep(0.1)
                received += await loop.sock_recv(caller.socket, 16 * 1024)
            rest, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 201)), ids_in(received + rest))
            self.assertEqual(0, self.ended(running))

        self.run_slow(work, stream)

    def test_an_answer_that_is_all_read_ahead_is_ended_too(self) -> None:
        stream = LargeStream(100)

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.wait_for(stream.all_taken.wait(), 1.0)
            await self.wait_until(lambda: self.ended(running) == 1)
            self.assertFalse((await caller.read_rest())[1])

        self.run_slow(work, stream)


class KernelBufferTests(RelayCase):
    """Callers over sockets with the usual buffers of the kernel."""

    kind = RouteKind.STREAM
    held = HeldLimits(total_bytes=8 * 1024 * 1024, slow_reader_s=0.4)

    def test_a_caller_that_reads_what_the_kernel_holds_is_not_ended(self) -> None:
        """Guards against steady callers that are ended as the kernel asks for more in large steps.

        It takes more from the entry only once a third of its buffer is free.
        """
        stream = LargeStream(2_000)

        async def work(running: RunningRelay) -> None:
            assert running.buffers is not None
            caller = SlowCaller(running, KERNEL_BUFFER_BYTES * 32)
            await caller.ask()
            loop, received = asyncio.get_running_loop(), b""
            for _ in range(20):
                await asyncio.sleep(0.1)
                received += await loop.sock_recv(caller.socket, 100_000)
                running.buffers.check(loop.time())
                self.assertEqual(0, running.metrics.counters.get("reader.ended", 0))
            rest, complete = await caller.read_rest()
            self.assertTrue(complete)
            self.assertEqual(list(range(1, 2_001)), ids_in(received + rest))

        self.run_with_relay(work, stream)


class ManyStoppedReadersTests(SlowReaderCase):
    held = HeldLimits(total_bytes=2 * 1024 * 1024)

    def unread_in_transports(self, running: RunningRelay) -> int:
        transports = [each.transport for each in running.runner.server.connections]
        return sum(each.get_write_buffer_size() for each in transports if each is not None)

    def test_memory_stays_under_its_bound_while_a_reading_caller_is_served(self) -> None:
        stream = LargeStream(300)

        async def work(running: RunningRelay) -> None:
            assert self.held is not None
            callers = [SlowCaller(running) for _ in range(40)]
            for number, caller in enumerate(callers):
                await caller.ask(f"slow{number}")
            most = 0
            served = 0
            for number in range(10):
                reading = SlowCaller(running)
                await reading.ask(f"fast{number}")
                pending = asyncio.ensure_future(reading.read_rest())
                while not pending.done():
                    await asyncio.sleep(0.005)
                    most = max(most, self.unread_in_transports(running))
                received, complete = pending.result()
                served += complete and ids_in(received) == list(range(1, 301))
            self.assertLessEqual(most, self.held.total_bytes + ONE_READ_BYTES)
            self.assertGreater(most, 0.5 * self.held.total_bytes)
            self.assertGreater(self.ended(running), 10)
            self.assertEqual(10, served)
            for caller in callers:
                caller.socket.close()

        self.run_slow(work, stream)


class BodyTests(SlowReaderCase):
    kind = RouteKind.SAFE
    held = HeldLimits(total_bytes=400_000)

    def test_a_request_body_that_does_not_fit_is_refused_at_once_as_not_run(self) -> None:
        async def echo(headers: Headers, writer: Writer) -> None:
            writer.write(complete_response(headers, headers["content-length"]))

        async def work(running: RunningRelay) -> None:
            running.body = b"x" * 310_000
            answer = await running.send_request()
            self.assertEqual((503, b"memory_full\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual([], running.targets[0].seen)
            self.assertEqual(1, running.metrics.counters["refused.memory_full"])
            running.body = b"x" * 250_000
            for number in range(5):
                answer = await running.send_request(Request=f"r{number}")
                self.assertEqual((200, b"250000"), (answer.status, answer.body))
            self.assertEqual(0.0, self.held_bytes(running))

        self.run_slow(work, echo)

    def test_a_body_of_unknown_length_is_refused_once_it_does_not_fit(self) -> None:
        async def never(headers: Headers, writer: Writer) -> None:
            raise AssertionError

        async def work(running: RunningRelay) -> None:
            head = (
                b"POST /a/x HTTP/1.1\r\nHost: care.example\r\nRequest: r\r\nKey: secret\r\n"
                b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            chunk = b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
            answer = await running.send_raw(head, *[chunk] * 5, LAST_CHUNK)
            self.assertIn(b"503", answer.splitlines()[0])
            self.assertIn(b"memory_full", answer)
            self.assertEqual([], running.targets[0].seen)
            self.assertEqual(0.0, self.held_bytes(running))

        self.run_slow(work, never)

    def test_a_whole_answer_that_does_not_fit_is_refused_as_having_run_and_not_retried(
        self,
    ) -> None:
        async def large(headers: Headers, writer: Writer) -> None:
            writer.write(complete_response(headers, "y" * 500_000))

        async def work(running: RunningRelay) -> None:
            answer = await running.send_request()
            self.assertEqual((502, b"memory_full\n"), (answer.status, answer.body))
            self.assertEqual([1, 0], [len(target.seen) for target in running.targets])
            self.assertEqual(0.0, self.held_bytes(running))

        self.run_slow(work, large, large)

    def test_the_length_of_an_answer_without_body_needs_no_memory(self) -> None:
        """Guards against a HEAD of a large answer that fails as if its body had come."""

        async def head(headers: Headers, writer: Writer) -> None:
            writer.write(response_head(headers, "Signed: 1\r\nContent-Length: 500000\r\n"))

        async def work(running: RunningRelay) -> None:
            request = b"HEAD /a/x HTTP/1.1\r\nHost: care.example\r\nRequest: r\r\nKey: secret\r\n"
            answer = await running.send_raw(request + b"Connection: close\r\n\r\n")
            self.assertIn(b"200", answer.splitlines()[0])

        self.run_slow(work, head)

    def test_a_whole_answer_counts_until_its_caller_has_read_it(self) -> None:
        async def large(headers: Headers, writer: Writer) -> None:
            writer.write(complete_response(headers, "y" * 300_000))

        async def work(running: RunningRelay) -> None:
            caller = SlowCaller(running)
            await caller.ask()
            await asyncio.sleep(0.3)
            self.assertGreater(self.held_bytes(running), 200_000)
            received, complete = await caller.read_rest(until=b"y" * 300_000)
            self.assertTrue(complete)
            await self.wait_until(lambda: self.held_bytes(running) == 0)

        self.run_slow(work, large)


class SlowTargetTests(SlowReaderCase):
    kind = RouteKind.SAFE
    held = HeldLimits(total_bytes=16 * 1024 * 1024)
    limits = CallerLimits(body_bytes=4 * 1024 * 1024)
    body_bytes = 3 * 1024 * 1024

    def unsent_bytes(self, running: RunningRelay) -> int:
        """Return what the connections to targets hold beside the bodies themselves."""
        connector = running.pooled.connector
        assert connector is not None
        transports = [each.transport for each in connector._acquired]
        self.assertEqual(1, len(transports))
        return sum(each.get_write_buffer_size() for each in transports if each is not None)

    def check_unsent(self, unsent_bytes: int) -> None:
        self.assertLess(unsent_bytes, 256 * 1024)

    def test_a_request_to_a_target_that_reads_slowly_waits_with_little_more_than_its_body(
        self,
    ) -> None:
        async def echo(headers: Headers, writer: Writer) -> None:
            writer.write(complete_response(headers, headers["content-length"]))

        async def work(running: RunningRelay) -> None:
            running.body = b"x" * self.body_bytes
            target = running.targets[0]
            pending = asyncio.ensure_future(running.send_request())
            async with asyncio.timeout(3.0):
                while not target.writers:
                    await asyncio.sleep(0)
            target.writers[0].transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(0.3)
            self.assertEqual(([], False), (target.seen, pending.done()))
            self.check_unsent(self.unsent_bytes(running))
            target.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            answer = await pending
            self.assertEqual(200, answer.status)
            self.assertEqual(str(self.body_bytes).encode(), answer.body)
            self.assertEqual(1, len(target.seen))

        self.run_slow(work, echo)


class SlowTargetWithoutBoundTests(SlowTargetTests):
    """Today's behaviour: the connection holds a second copy of the body."""

    held = None  # type: ignore[assignment]

    def check_unsent(self, unsent_bytes: int) -> None:
        self.assertGreater(unsent_bytes, 2 * 1024 * 1024)


class UnwrittenRequestTests(SlowReaderCase):
    kind = RouteKind.UNSAFE

    def test_a_request_of_which_nothing_was_written_in_time_is_refused_as_not_run(self) -> None:
        async def never(headers: Headers, writer: Writer) -> None:
            raise AssertionError

        async def work(running: RunningRelay) -> None:
            async def hang(*_: Any, **__: Any) -> None:
                await asyncio.sleep(5.0)

            connector = running.single_use.connector
            self.patch(connector, "connect", hang)
            answer = await running.send_request(**{"Deadline-S": "0.3"})
            self.assertEqual(503, answer.status)

        self.run_slow(work, never)

    def test_a_request_that_was_written_is_not_refused_as_not_run(self) -> None:
        async def silent(headers: Headers, writer: Writer) -> None:
            await asyncio.sleep(2.0)

        async def work(running: RunningRelay) -> None:
            answer = await running.send_request(**{"Deadline-S": "0.3"})
            self.assertEqual(504, answer.status)

        self.run_slow(work, silent)
