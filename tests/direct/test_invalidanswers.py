# SPDX-License-Identifier: Apache-2.0
"""Bytes of a target that are no answer, or one without an end.

No caller gets them as an answer. A request that may be repeated gets another target's answer.
"""

import asyncio
import resource
from collections.abc import Callable

import aiohttp
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.configuration import RouteKind
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_platform.answers import MAX_HEAD_BYTES, MAX_INTERIM_ANSWERS, read_body
from ochreway_platform.resetaware import ResetAwareConnector
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

Writer = asyncio.StreamWriter
BLOCK = b"x" * 65536
ENDLESS_BLOCKS = 8000
"""Half a gigabyte; more than any part of an answer may have."""
MAX_ANSWER_BYTES = 4 * 1024 * 1024
PLAIN = "Signed: 1\r\nContent-Length: 4\r\n"
NO_LENGTH = "Signed: 1\r\n"


def sends(part: Callable[[Headers], bytes]) -> Script:
    """Return a script that sends bytes and closes its connection."""

    async def script(headers: Headers, writer: Writer) -> None:
        writer.write(part(headers))
        writer.close()

    return script


def endless(head: Callable[[Headers], bytes], block: bytes) -> Script:
    """Return a script that goes on until its connection is closed."""

    async def script(headers: Headers, writer: Writer) -> None:
        writer.write(head(headers))
        for _ in range(ENDLESS_BLOCKS):
            writer.write(block)
            await writer.drain()

    return script


async def sound(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "elsewhere"))


def with_status(status: str) -> Script:
    return sends(lambda headers: response_head(headers, PLAIN, f"{status} X") + b"body")


def with_headers(more: str, body: bytes = b"body") -> Script:
    return sends(lambda headers: response_head(headers, more) + body)


INVALID: dict[str, Script] = {
    **{
        f"status {status}": with_status(status)
        for status in ("000", "001", "099", "101", "600", "999", "20", "2000", "+20", "2e2", "")
    },
    "unknown coding": with_headers("Signed: 1\r\nTransfer-Encoding: gzip\r\n"),
    "two codings": with_headers(
        "Signed: 1\r\nTransfer-Encoding: gzip, chunked\r\n", b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "length and chunks": with_headers(
        PLAIN + "Transfer-Encoding: chunked\r\n", b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "two lengths": with_headers(PLAIN + "Content-Length: 2\r\n"),
    "a body cut short": with_headers(PLAIN, b"bo"),
    "chunks cut short": with_headers(
        "Signed: 1\r\nTransfer-Encoding: chunked\r\n", b"4\r\nbody\r\n"
    ),
    "a head cut in its status line": sends(lambda _: b"HTTP/1.1 200"),
    "a head cut after its status line": sends(lambda _: b"HTTP/1.1 200 OK\r\n"),
    "a head cut in a header": sends(lambda headers: response_head(headers, PLAIN)[:-6]),
    "a head without its blank line": sends(lambda headers: response_head(headers, PLAIN)[:-2]),
    "a head without its last line feed": sends(lambda headers: response_head(headers, PLAIN)[:-1]),
    "a stream's head without its blank line": sends(
        lambda headers: stream_response_head(headers)[:-2]
    ),
    "an interim answer alone": sends(lambda _: b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "many interim answers": sends(
        lambda headers: (
            b"HTTP/1.1 103 Early Hints\r\n\r\n" * (MAX_INTERIM_ANSWERS + 1)
            + complete_response(headers, "body")
        )
    ),
    "nothing": sends(lambda _: b""),
}
ENDLESS: dict[str, Script] = {
    "headers": endless(
        lambda headers: response_head(headers, PLAIN)[:-2], b"A: " + BLOCK[:512] + b"\r\n"
    ),
    "one header": endless(lambda headers: response_head(headers, PLAIN)[:-2] + b"A: ", BLOCK),
    "a status line": endless(lambda _: b"HTTP/1.1 200 ", BLOCK),
    "interim answers": endless(lambda _: b"", b"HTTP/1.1 103 X\r\n\r\n" * 100),
    "empty lines": endless(lambda _: b"", b"\r\n" * 1000),
    "garbage": endless(lambda _: b"", b"\x00\xff" * 1000),
    "a chunk's size": endless(stream_response_head, b"0" * 65536),
    "a chunk's extension": endless(lambda headers: stream_response_head(headers) + b"4;", BLOCK),
    "trailers": endless(
        lambda headers: stream_response_head(headers) + b"4\r\nbody\r\n0\r\n",
        b"A: " + BLOCK[:512] + b"\r\n",
    ),
    "a body": endless(lambda headers: response_head(headers, NO_LENGTH), BLOCK),
    "chunks": endless(stream_response_head, b"10000\r\n" + BLOCK + b"\r\n"),
    "the body of a failure": endless(
        lambda headers: response_head(headers, NO_LENGTH, "500 X"), BLOCK
    ),
    "the body of an overload": endless(
        lambda headers: response_head(headers, NO_LENGTH, "503 X"), BLOCK
    ),
}


def memory_mb() -> float:
    """Return the peak of the memory that this process used."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class InvalidAnswerTests(RelayCase):
    tuning = RelayTuning(max_answer_bytes=MAX_ANSWER_BYTES)

    def assert_elsewhere(self, name: str, script: Script) -> None:
        async def work(running: RunningRelay) -> None:
            answer = await running.send_request()
            self.assertEqual((200, b"elsewhere"), (answer.status, answer.body), name)

        self.run_with_relay(work, script, sound)

    def test_a_request_that_may_be_repeated_gets_another_targets_answer(self) -> None:
        # A status of 000 reached callers as "HTTP/1.1 0", 101 as a change of the protocol.
        for name, script in INVALID.items():
            self.assert_elsewhere(name, script)

    def test_what_has_no_end_is_closed_and_not_kept(self) -> None:
        for name, script in ENDLESS.items():
            before_mb = memory_mb()
            self.assert_elsewhere(name, script)
            self.assertLess(memory_mb() - before_mb, 64.0, name)


class UnsafeInvalidAnswerTests(RelayCase):
    kind = RouteKind.UNSAFE
    tuning = RelayTuning(max_answer_bytes=MAX_ANSWER_BYTES)

    def test_a_request_that_may_not_be_repeated_fails(self) -> None:
        for name, script in {**INVALID, **ENDLESS}.items():
            if name in ("the body of a failure", "the body of an overload"):
                continue

            async def work(running: RunningRelay, name: str = name) -> None:
                answer = await running.send_request()
                self.assertEqual(502, answer.status, name)
                self.assertEqual([], running.targets[1].seen, name)

            self.run_with_relay(work, script, sound)


async def other_stream(headers: Headers, writer: Writer) -> None:
    writer.write(stream_response_head(headers) + event_chunk(1) + LAST_CHUNK)


class StreamInvalidAnswerTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True

    def test_a_stream_comes_from_another_target(self) -> None:
        scripts = {name: INVALID[name] for name in INVALID if name.startswith(("status", "a head"))}
        scripts["an event without an end"] = ENDLESS["chunks"]
        for name, script in scripts.items():

            async def work(running: RunningRelay, name: str = name) -> None:
                answer = await running.send_request()
                seen = (answer.status, answer.body, answer.broken)
                self.assertEqual((200, b"id: 1\ndata: e1\n\n", False), seen, name)

            self.run_with_relay(work, script, other_stream)


async def ask(content: bytes, max_bytes: int) -> int | None:
    """Return the status with which a client takes some bytes for an answer, or None."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(content)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        async with (
            aiohttp.ClientSession(connector=ResetAwareConnector()) as session,
            asyncio.timeout(5.0),
            session.get(f"http://127.0.0.1:{port}/") as response,
        ):
            await read_body(response, max_bytes)
            return response.status
    except (aiohttp.ClientError, OSError, ValueError):
        return None
    finally:
        server.close()


STATUS_LINES = st.builds(
    lambda version, status: b"HTTP/%s %s X\r\n" % (version, status),
    st.sampled_from([b"1.1", b"1.0", b"2", b"0.9", b""]),
    st.one_of(
        st.integers(0, 1100).map(lambda n: b"%03d" % n), st.binary(max_size=4), st.just(b"200")
    ),
)
HEADER_LINES = st.lists(
    st.one_of(
        st.sampled_from(
            [
                b"Content-Length: 3",
                b"Content-Length: 0",
                b"Content-Length: -3",
                b"Content-Length: 3, 4",
                b"Transfer-Encoding: chunked",
                b"Transfer-Encoding: gzip",
                b"Transfer-Encoding: chunked, chunked",
                b"Connection: close",
                b"Upgrade: h2c",
                b": no name",
            ]
        ),
        st.binary(max_size=20),
    ),
    max_size=4,
).map(lambda lines: b"".join(line + b"\r\n" for line in lines))
BODIES = st.one_of(
    st.sampled_from([b"", b"abc", b"3\r\nabc\r\n0\r\n\r\n", b"3\r\nabc\r\n", b"ffffffffffff\r\na"]),
    st.binary(max_size=40),
)
ANSWERS = st.builds(
    lambda interim, line, lines, end, body: interim + line + lines + end + body,
    st.sampled_from([b"", b"HTTP/1.1 100 C\r\n\r\n", b"HTTP/1.1 101 S\r\n\r\n"]),
    STATUS_LINES,
    HEADER_LINES,
    st.sampled_from([b"\r\n", b"", b"\r", b"\n"]),
    BODIES,
)


class FuzzTests(testtools.TestCase):
    @given(ANSWERS)
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_only_a_final_answer_of_one_framing_is_taken_for_one(self, content: bytes) -> None:
        status = asyncio.run(ask(content, MAX_ANSWER_BYTES))
        if status is None:
            return
        self.assertIn(status, range(200, 600))
        self.assertRegex(content, rb"\r?\n\r?\n")

    def test_answers_that_nobody_asked_for_are_not_kept(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.assertIn(asyncio.run(ask(answer * 100_000, MAX_ANSWER_BYTES)), (200, None))

    def test_a_body_that_is_too_long_is_no_answer(self) -> None:
        content = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_HEAD_BYTES + 1)
        self.assertIsNone(asyncio.run(ask(content, MAX_HEAD_BYTES)))
        self.assertEqual(200, asyncio.run(ask(content, MAX_HEAD_BYTES + 1)))


class BoundedMemoryTests(RelayCase):
    held = HeldLimits(2 * 1024 * 1024)

    def test_an_answer_without_an_end_is_asked_for_elsewhere(self) -> None:
        # It filled the memory, and its caller got 502 although a sound target was there.
        for name in ("a body", "chunks", "the body of a failure", "the body of an overload"):

            async def work(running: RunningRelay, name: str = name) -> None:
                answer = await running.send_request()
                self.assertEqual((200, b"elsewhere"), (answer.status, answer.body), name)

            self.run_with_relay(work, ENDLESS[name], sound)
