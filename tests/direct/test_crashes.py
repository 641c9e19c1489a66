# SPDX-License-Identifier: Apache-2.0
"""One entry stops sending a request that ends targets; other requests are served."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from ochreway_direct.configuration import RouteKind
from ochreway_routing.crashholds import HOLD_S
from ochreway_routing.crashrecord import FATAL_CRASHES
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
FATAL_PATH = "x"
OTHER_PATH = "y"


def crashing_script(
    running: Callable[[], RunningRelay], number: int
) -> Callable[..., Awaitable[None]]:
    """Return a script that ends its target on requests for one path and answers others."""

    async def script(headers: Headers, writer: Writer) -> None:
        if f"/a/{FATAL_PATH}" not in headers["line"]:
            writer.write(complete_response(headers, "fine"))
            return
        target = running().targets[number]
        assert target.server is not None
        target.server.close()
        target.reset()

    return script


async def resetting(headers: Headers, writer: Writer) -> None:
    writer.transport.abort()


class CrashCase(RelayCase):
    budget = (0.5, 100.0)

    def run_with_crashing_targets(
        self, work: Callable[[RunningRelay], Awaitable[None]], targets: int
    ) -> None:
        started: list[RunningRelay] = []

        async def remember(running: RunningRelay) -> None:
            started.append(running)
            await work(running)

        self.run_with_relay(
            remember, *(crashing_script(lambda: started[0], n) for n in range(targets))
        )

    def let_time_pass(self, running: RunningRelay, seconds: float) -> None:
        """Move all crashes that are known into the past."""
        for record in running.book._fatal.values():
            record.crashes = [replace(each, at_s=each.at_s - seconds) for each in record.crashes]
        running.book._holds_outdated = True


class FatalTests(CrashCase):
    attempts = 2

    async def send_repeatedly(self, running: RunningRelay, times: int) -> list[int]:
        return [
            (await running.send_request(f"/a/{FATAL_PATH}", Request=f"r{n}")).status
            for n in range(times)
        ]

    def test_a_fatal_request_is_refused_from_the_third_crash_on(self) -> None:
        async def work(running: RunningRelay) -> None:
            statuses = await self.send_repeatedly(running, 6)
            self.assertEqual([502, 502, 503, 503, 503, 503], statuses)
            self.assertEqual(FATAL_CRASHES, sum(len(each.seen) for each in running.targets))
            self.assertEqual(1, running.metrics.counters["crash.fatal"])

        self.run_with_crashing_targets(work, 8)

    def test_the_refusal_says_not_run_and_how_long_it_lasts(self) -> None:
        async def work(running: RunningRelay) -> None:
            await self.send_repeatedly(running, 2)
            answer = await running.send_request(f"/a/{FATAL_PATH}", Request="r9")
            self.assertEqual((503, b"ends_targets\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), HOLD_S[0] - 5.0)
            self.assertEqual(2, running.metrics.counters["refused.ends_targets"])

        self.run_with_crashing_targets(work, 8)

    def test_other_requests_are_served(self) -> None:
        async def work(running: RunningRelay) -> None:
            await self.send_repeatedly(running, 4)
            self.assertEqual(
                200, (await running.send_request(f"/a/{OTHER_PATH}", Request="r9")).status
            )
            running.body = b"another body"
            self.assertEqual(
                502, (await running.send_request(f"/a/{FATAL_PATH}", Request="r10")).status
            )

        self.run_with_crashing_targets(work, 8)

    def test_resets_by_targets_that_did_not_end_do_not_count(self) -> None:
        async def work(running: RunningRelay) -> None:
            statuses = await self.send_repeatedly(running, 6)
            self.assertEqual({502}, set(statuses))
            self.assertEqual([], running.book.suspects(0.0))
            self.assertNotIn("crash.under_request", running.metrics.counters)

        self.run_with_relay(work, *(resetting for _ in range(8)))

    def test_a_completed_run_clears_a_suspect(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assertEqual([502], await self.send_repeatedly(running, 1))
            (suspect,) = running.book.suspects(0.0)
            self.assertEqual(2, running.book.crash_count(suspect))
            for target in running.targets:
                if not target.seen:
                    target.script = good
            self.assertEqual([200], await self.send_repeatedly(running, 1))
            self.assertEqual(0, running.book.crash_count(suspect))

        self.run_with_crashing_targets(work, 4)

    def test_after_its_time_a_single_trial_is_sent(self) -> None:
        async def work(running: RunningRelay) -> None:
            await self.send_repeatedly(running, 3)
            self.let_time_pass(running, HOLD_S[0] + 1.0)
            self.assertEqual([502, 503, 503], await self.send_repeatedly(running, 3))
            self.assertEqual(FATAL_CRASHES + 1, sum(len(each.seen) for each in running.targets))
            self.assertEqual(1, running.metrics.counters["crash.on_trial"])

        self.run_with_crashing_targets(work, 8)


async def good(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine"))


class FatalStreamTests(CrashCase):
    kind = RouteKind.STREAM
    resumable = True
    attempts = 5

    def test_a_stream_is_aborted_at_the_third_leader_that_its_resumptions_end(self) -> None:
        started: list[RunningRelay] = []

        def script(number: int) -> Callable[..., Awaitable[None]]:
            async def ends(headers: Headers, writer: Writer) -> None:
                begin = int(headers.get("after", 0)) + 1
                writer.write(stream_response_head(headers) + event_chunk(begin))
                await writer.drain()
                await asyncio.sleep(0.05)
                target = started[0].targets[number]
                assert target.server is not None
                target.server.close()
                target.reset()

            return ends

        async def work(running: RunningRelay) -> None:
            started.append(running)
            answer = await running.send_request()
            self.assertTrue(answer.broken)
            self.assertEqual(FATAL_CRASHES, sum(len(each.seen) for each in running.targets))
            self.assertEqual(1, running.metrics.counters["broken.ends_targets"])
            self.assertEqual(503, (await running.send_request(Request="r2")).status)
            self.assertNotIn(LAST_CHUNK, answer.body)

        self.run_with_relay(work, *(script(n) for n in range(6)))
