# SPDX-License-Identifier: Apache-2.0
"""Answers with neither a length nor chunks end with their connection.

One whose connection is reset, or a stream that ends inside an event, is not complete. The caller
must not take its beginning for the whole answer.
"""

import asyncio
import socket

from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import (
    LINGER_RESET,
    Headers,
    RelayCase,
    RunningRelay,
    complete_response,
    response_head,
)

Writer = asyncio.StreamWriter
PAUSE_S = 0.05
"""Time between the parts of an answer, so that they arrive one by one."""
EVENTS = tuple(b"id: %d\ndata: e%d\n\n" % (n, n) for n in (1, 2, 3))


def body_head(headers: Headers) -> bytes:
    return response_head(headers, "Signed: 1\r\n")


def stream_head(headers: Headers) -> bytes:
    return response_head(headers, "Signed: 1\r\nContent-Type: text/event-stream\r\n")


def reset(writer: Writer) -> None:
    connection = writer.transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def write_slowly(writer: Writer, *parts: bytes) -> None:
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)


async def whole_body(headers: Headers, writer: Writer) -> None:
    await write_slowly(writer, body_head(headers) + b"whole ", b"body")
    writer.close()


async def reset_in_the_body(headers: Headers, writer: Writer) -> None:
    await write_slowly(writer, body_head(headers) + b"a part")
    reset(writer)


async def reset_before_the_body(headers: Headers, writer: Writer) -> None:
    await write_slowly(writer, body_head(headers))
    reset(writer)


async def framed(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "elsewhere"))


class BodyTests(RelayCase):
    def test_a_body_that_ends_with_its_connection_is_complete(self) -> None:
        async def work(running: RunningRelay) -> None:
            answer = await running.send_request()
            self.assertEqual((200, b"whole body"), (answer.status, answer.body))

        self.run_with_relay(work, whole_body)

    def test_a_body_whose_connection_is_reset_comes_from_another_target(self) -> None:
        for breaks in (reset_in_the_body, reset_before_the_body):

            async def work(running: RunningRelay) -> None:
                answer = await running.send_request()
                self.assertEqual((200, b"elsewhere"), (answer.status, answer.body))

            self.run_with_relay(work, breaks, framed)


class UnsafeBodyTests(RelayCase):
    kind = RouteKind.UNSAFE

    def test_a_body_whose_connection_is_reset_is_a_failure(self) -> None:
        for breaks in (reset_in_the_body, reset_before_the_body):

            async def work(running: RunningRelay) -> None:
                answer = await running.send_request()
                self.assertEqual(502, answer.status)
                self.assertEqual([], running.targets[1].seen)

            self.run_with_relay(work, breaks, framed)


class StreamTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True

    def test_a_stream_that_ends_with_its_connection_is_complete(self) -> None:
        async def ends(headers: Headers, writer: Writer) -> None:
            await write_slowly(writer, stream_head(headers) + EVENTS[0], *EVENTS[1:])
            writer.close()

        async def work(running: RunningRelay) -> None:
            answer = await running.send_request()
            self.assertEqual((b"".join(EVENTS), False), (answer.body, answer.broken))

        self.run_with_relay(work, ends, framed)

    def assert_resumed(self, part: bytes, resets: bool) -> None:
        async def breaks(headers: Headers, writer: Writer) -> None:
            await write_slowly(writer, stream_head(headers) + EVENTS[0], part)
            reset(writer) if resets else writer.close()

        async def goes_on(headers: Headers, writer: Writer) -> None:
            begun = int(headers.get("after", 0))
            await write_slowly(writer, stream_head(headers), *EVENTS[begun:])
            writer.close()

        async def work(running: RunningRelay) -> None:
            answer = await running.send_request()
            self.assertEqual((b"".join(EVENTS), False), (answer.body, answer.broken))

        self.run_with_relay(work, breaks, goes_on)

    def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(self) -> None:
        self.assert_resumed(b"id: 2\nda", resets=False)

    def test_a_stream_that_is_reset_inside_an_event_goes_on_elsewhere(self) -> None:
        self.assert_resumed(b"id: 2\nda", resets=True)

    def test_a_stream_that_is_reset_between_events_goes_on_elsewhere(self) -> None:
        self.assert_resumed(EVENTS[1], resets=True)


class UnrepeatableStreamTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = False

    def test_a_stream_that_ends_inside_an_event_is_visibly_broken(self) -> None:
        async def breaks(headers: Headers, writer: Writer) -> None:
            await write_slowly(writer, stream_head(headers) + EVENTS[0], b"id: 2\nda")
            writer.close()

        async def work(running: RunningRelay) -> None:
            answer = await running.send_request()
            self.assertEqual((EVENTS[0], True), (answer.body, answer.broken))

        self.run_with_relay(work, breaks, framed)
