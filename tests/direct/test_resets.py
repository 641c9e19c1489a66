# SPDX-License-Identifier: Apache-2.0
import asyncio
from collections import Counter

from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import (
    LAST_CHUNK,
    Headers,
    RelayCase,
    RunningRelay,
    complete_response,
    event_chunk,
    stream_response_head,
)

Writer = asyncio.StreamWriter
CALLS = 8
TIMEOUT_S = 10


async def good(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine"))


class Gate:
    """Let targets begin their requests, and answer them once the gate is open."""

    def __init__(self) -> None:
        self.open = False

    async def answer(self, headers: Headers, writer: Writer) -> None:
        while not self.open:
            await asyncio.sleep(0.01)
        writer.write(complete_response(headers, "fine"))


def count_runs(running: RunningRelay) -> Counter[str]:
    """Return how often each request reached a target."""
    return Counter(seen["request"] for target in running.targets for seen in target.seen)


async def until_begun(running: RunningRelay, number: int) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while sum(count_runs(running).values()) < number:
            await asyncio.sleep(0.01)


def reset_all(running: RunningRelay) -> None:
    for target in running.targets:
        target.reset()


class UnrepeatableResetTests(RelayCase):
    kind = RouteKind.UNSAFE

    def test_begun_requests_run_once_and_are_never_reported_as_not_run(self) -> None:
        gate = Gate()

        async def work(running: RunningRelay) -> None:
            pending = [
                asyncio.ensure_future(running.send_request(Request=f"r{number}"))
                for number in range(CALLS)
            ]
            await until_begun(running, CALLS)
            reset_all(running)
            answers = await asyncio.gather(*pending)
            self.assertEqual({502}, {answer.status for answer in answers})
            gate.open = True
            self.assertEqual(200, (await running.send_request(Request="later")).status)
            self.assertEqual({1}, set(count_runs(running).values()))
            self.assertEqual(CALLS + 1, len(count_runs(running)))

        self.run_with_relay(work, gate.answer, gate.answer)

    def test_requests_not_yet_sent_are_not_lost(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assertEqual(200, (await running.send_request(Request="before")).status)
            closed_server = running.targets[0].server
            assert closed_server is not None
            closed_server.close()
            reset_all(running)
            for number in range(CALLS):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual({1}, set(count_runs(running).values()))

        self.run_with_relay(work, good, good)

    def test_the_client_library_resends_no_method(self) -> None:
        async def breaks(headers: Headers, writer: Writer) -> None:
            writer.transport.abort()

        async def work(running: RunningRelay) -> None:
            for method in ("POST", "PUT", "GET", "DELETE"):
                answer = await running.send_request(method=method, Request=method)
                self.assertEqual((method, 502), (method, answer.status))
            self.assertEqual(
                {"POST": 1, "PUT": 1, "GET": 1, "DELETE": 1}, dict(count_runs(running))
            )

        self.run_with_relay(work, breaks, breaks)

    def test_a_request_that_ran_is_not_reported_as_not_run_after_its_target_ended(self) -> None:
        async def work(running: RunningRelay) -> None:
            target = running.targets[0]

            async def ends(headers: Headers, writer: Writer) -> None:
                assert target.server is not None
                target.server.close()
                writer.transport.abort()

            target.script = ends
            for method in ("PUT", "POST"):
                answer = await running.send_request(method=method, Request=method)
                begun = count_runs(running)[method] > 0
                self.assertEqual(502 if begun else 503, answer.status)
            self.assertLessEqual(max(count_runs(running).values()), 1)

        self.run_with_relay(work, good)


class RepeatableResetTests(RelayCase):
    def test_idle_connections_that_were_reset_lose_no_answer(self) -> None:
        async def work(running: RunningRelay) -> None:
            for round_number in range(3):
                names = [f"r{round_number}-{number}" for number in range(CALLS)]
                answers = await asyncio.gather(
                    *(running.send_request(Request=name) for name in names)
                )
                self.assertEqual({200}, {answer.status for answer in answers})
                reset_all(running)
            self.assertEqual(3 * CALLS, len(count_runs(running)))

        self.run_with_relay(work, good, good)

    def test_a_begun_repeatable_request_is_answered_by_another_run(self) -> None:
        gate = Gate()

        async def work(running: RunningRelay) -> None:
            pending = asyncio.ensure_future(running.send_request())
            await until_begun(running, 1)
            gate.open = True
            reset_all(running)
            self.assertEqual(200, (await pending).status)
            self.assertEqual(2, count_runs(running)["r1"])

        self.run_with_relay(work, gate.answer, gate.answer)


class StreamResetTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True

    def test_a_stream_resumes_after_its_last_event(self) -> None:
        async def begins(headers: Headers, writer: Writer) -> None:
            begin = int(headers.get("after", "0")) + 1
            last = 2 if begin == 1 else 4
            pieces = b"".join(event_chunk(number) for number in range(begin, last + 1))
            writer.write(stream_response_head(headers) + pieces)
            await writer.drain()
            if begin > 1:
                writer.write(LAST_CHUNK)

        async def work(running: RunningRelay) -> None:
            pending = asyncio.ensure_future(running.send_request())
            await until_begun(running, 1)
            await asyncio.sleep(0.1)
            reset_all(running)
            answer = await pending
            expected = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in (1, 2, 3, 4))
            self.assertEqual((False, expected), (answer.broken, answer.body))

        self.run_with_relay(work, begins, begins)
