# SPDX-License-Identifier: Apache-2.0
"""Requests to targets whose share is used up, and when a request counts as written."""

import asyncio

import aiohttp

from ochreway_core.ids import InstanceId
from ochreway_direct.configuration import RouteKind
from ochreway_direct.ids import ServiceName
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.sendtrace import send_trace
from ochreway_direct.relay.targetprotocol import TargetConnector
from ochreway_direct.sendlimits.sendlimit import SendLimit
from tests.direct.relaycase import RelayCase, RunningRelay
from tests.direct.test_relay import good

WAIT_S = 0.7


class ScriptedLimit(SendLimit):
    """Allow some targets, and record what is sent."""

    def __init__(self, *allowed: str) -> None:
        self.allowed = allowed
        self.attempts: list[Attempt] = []

    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        return instance in self.allowed

    def wait_s(self, service: ServiceName, instance: InstanceId, now_s: float) -> float:
        return 0.0 if instance in self.allowed else WAIT_S

    def record_sent(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)


class PlainTests(RelayCase):
    kind = RouteKind.SAFE

    def test_a_target_whose_share_is_used_up_is_passed_over(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.fleet._limit = ScriptedLimit("t1")
            self.assertEqual(200, (await running.send_request()).status)
            self.assertEqual([0, 1], [len(each.seen) for each in running.targets])

        self.run_with_relay(work, good, good)

    def test_without_any_share_a_request_is_refused_with_the_exact_wait(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.fleet._limit = ScriptedLimit()
            answer = await running.send_request()
            self.assertEqual((503, b"send_limit\n"), (answer.status, answer.body))
            self.assertEqual(WAIT_S, float(answer.headers["Retry-After"]))
            self.assertEqual(1, running.metrics.counters["refused.send_limit"])
            self.assertEqual([[], []], [each.seen for each in running.targets])

        self.run_with_relay(work, good, good)

    def test_a_share_that_becomes_free_while_waiting_is_used(self) -> None:
        async def work(running: RunningRelay) -> None:
            limit = running.fleet._limit = ScriptedLimit()
            pending = asyncio.create_task(running.send_request())
            await asyncio.sleep(0.02)
            limit.allowed = ("t0",)
            self.assertEqual(200, (await pending).status)

        self.run_with_relay(work, good)

    def test_an_attempt_is_known_to_be_written_before_it_is_answered(self) -> None:
        written: list[float | None] = []

        async def work(running: RunningRelay) -> None:
            limit = running.fleet._limit = ScriptedLimit("t0")
            traced = aiohttp.ClientSession(
                connector=TargetConnector(),
                auto_decompress=False,
                trace_configs=[send_trace()],
            )
            running.relay._exchange._pooled_session = traced
            target = running.targets[0]

            async def slow(headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(0.1)
                written.append(limit.attempts[0].written_s)
                await good(headers, writer)

            target.script = slow
            begun_s = asyncio.get_running_loop().time()
            self.assertEqual(200, (await running.send_request()).status)
            await traced.close()
            assert written[0] is not None
            self.assertLess(written[0] - begun_s, 0.09)

        self.run_with_relay(work, good)


class StreamTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True

    def test_without_any_share_a_request_is_refused_with_the_exact_wait(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.fleet._limit = ScriptedLimit()
            answer = await running.send_request()
            self.assertEqual((503, b"send_limit\n"), (answer.status, answer.body))
            self.assertEqual(WAIT_S, float(answer.headers["Retry-After"]))
            self.assertEqual([[], []], [each.seen for each in running.targets])

        self.run_with_relay(work, good, good)
