# SPDX-License-Identifier: Apache-2.0
import asyncio

import aiohttp
import testtools

from ochreway_direct.configuration import RouteKind
from ochreway_direct.relay.callerconnections import (
    MAX_SURPLUS_CONNECTIONS,
    Admittance,
    CallerConnections,
)
from ochreway_direct.relay.idlelimits import IdleLimits
from ochreway_direct.relay.keepalive import DEFAULT_KEEP_ALIVE_S, MAX_KEEP_ALIVE_S, keep_alive_s
from tests.direct.relaycase import Headers, RelayCase, RunningRelay, complete_response

Writer = asyncio.StreamWriter


async def good(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine"))


async def keep_alive_5_s(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine", more="Keep-Alive: timeout=5\r\n"))


async def keep_alive_0_s(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine", more="Keep-Alive: timeout=0\r\n"))


async def slow(headers: Headers, writer: Writer) -> None:
    await asyncio.sleep(0.1)
    writer.write(complete_response(headers, "fine"))


class KeepAliveTests(testtools.TestCase):
    def test_a_fraction_of_the_announced_keep_alive_is_used(self) -> None:
        self.assertEqual(4.0, keep_alive_s("timeout=5"))
        self.assertEqual(4.0, keep_alive_s("max=100, Timeout = 5"))
        self.assertEqual(0.0, keep_alive_s("timeout=0"))
        self.assertEqual(MAX_KEEP_ALIVE_S, keep_alive_s("timeout=600"))

    def test_an_invalid_keep_alive_counts_as_absent(self) -> None:
        for header in (None, "", "timeout", "timeout=-1", "timeout=x", "xtimeout=9", "9"):
            self.assertEqual(DEFAULT_KEEP_ALIVE_S, keep_alive_s(header), header)


class IdleLimitsTests(testtools.TestCase):
    def test_both_limits_hold(self) -> None:
        bounds = IdleLimits(max_total=3, max_per_target=2)
        self.assertTrue(bounds.allow(2, 1))
        self.assertFalse(bounds.allow(3, 1))
        self.assertFalse(bounds.allow(2, 2))
        self.assertTrue(IdleLimits().allow(10_000, 10_000))


class ReuseTests(RelayCase):
    def opened(self, running: RunningRelay) -> int:
        return running.metrics.counters.get("connections", 0)

    def test_a_kept_connection_is_reused(self) -> None:
        async def work(running: RunningRelay) -> None:
            for number in range(4):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual(1, self.opened(running))

        self.run_with_relay(work, keep_alive_5_s)

    def test_a_connection_that_the_target_does_not_keep_is_not_reused(self) -> None:
        async def work(running: RunningRelay) -> None:
            for number in range(3):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual(3, self.opened(running))

        self.run_with_relay(work, keep_alive_0_s)

    def test_idle_connections_stay_within_the_limit(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.idle_limits.max_per_target = 1
            for _ in range(2):
                await asyncio.gather(*(running.send_request(Request=f"r{n}") for n in range(3)))
            self.assertEqual(3 + 2, self.opened(running))

        self.run_with_relay(work, slow)


class UnrepeatableTests(RelayCase):
    kind = RouteKind.UNSAFE

    def test_unrepeatable_requests_use_no_kept_connection(self) -> None:
        async def work(running: RunningRelay) -> None:
            for number in range(3):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertNotIn("connections", running.metrics.counters)
            self.assertEqual(3, len(running.targets[0].seen))

        self.run_with_relay(work, keep_alive_5_s)


class CallerConnectionsTests(testtools.TestCase):
    def test_without_a_limit_all_are_served(self) -> None:
        connections = CallerConnections()
        admittances = {connections.admit() for _ in range(1_000)}
        self.assertEqual({Admittance.SERVED}, admittances)
        self.assertEqual(0.0, connections.share)

    def test_connections_over_the_limit_are_refused_and_then_dropped(self) -> None:
        connections = CallerConnections(2)
        admittances = [connections.admit() for _ in range(2 + MAX_SURPLUS_CONNECTIONS + 1)]
        self.assertEqual([Admittance.SERVED] * 2, admittances[:2])
        self.assertEqual([Admittance.REFUSED] * MAX_SURPLUS_CONNECTIONS, admittances[2:-1])
        self.assertIs(Admittance.DROPPED, admittances[-1])
        for _ in admittances:
            connections.release()
        self.assertIs(Admittance.SERVED, connections.admit())


class CallerLimitTests(RelayCase):
    def test_a_connection_over_the_limit_is_refused_and_closed(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.caller_connections.max_open = 1
            _, idle_writer = await asyncio.open_connection("127.0.0.1", running.port)
            await self.until_open(running, 1)
            answer = await running.send_request()
            self.assertEqual(503, answer.status)
            self.assertEqual(b"connections_full\n", answer.body)
            self.assertEqual("close", answer.headers["Connection"])
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual(1, running.metrics.counters["refused.connections_full"])
            self.assertEqual([], running.targets[0].seen)
            idle_writer.close()
            await self.until_open(running, 0)
            self.assertEqual(200, (await running.send_request()).status)

        self.run_with_relay(work, good)

    def test_connections_far_over_the_limit_are_dropped_unread(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.caller_connections.max_open = 1
            running.caller_connections.open = 1 + MAX_SURPLUS_CONNECTIONS
            with testtools.ExpectedException(aiohttp.ServerDisconnectedError):
                await running.send_request()
            self.assertEqual(0, running.relay.accepted_calls)
            await self.until_open(running, 1 + MAX_SURPLUS_CONNECTIONS)

        self.run_with_relay(work, good)

    async def until_open(self, running: RunningRelay, number: int) -> None:
        async with asyncio.timeout(10):
            while running.caller_connections.open != number:
                await asyncio.sleep(0.01)
