# SPDX-License-Identifier: Apache-2.0
import asyncio

import aiohttp
import testtools

from ochreway_direct.configuration import RouteKind
from ochreway_direct.relay.callerconnections import (
    SURPLUS_AT_MOST,
    Admittance,
    CallerConnections,
)
from ochreway_direct.relay.restingbounds import RestingBounds
from ochreway_direct.relay.restingtime import AT_MOST_S, DEFAULT_S, resting_time_s
from tests.direct.relaycase import Headers, RelayCase, Running, whole

Writer = asyncio.StreamWriter


async def good(headers: Headers, writer: Writer) -> None:
    writer.write(whole(headers, "fine"))


async def kept_long(headers: Headers, writer: Writer) -> None:
    writer.write(whole(headers, "fine", more="Keep-Alive: timeout=5\r\n"))


async def not_kept(headers: Headers, writer: Writer) -> None:
    writer.write(whole(headers, "fine", more="Keep-Alive: timeout=0\r\n"))


async def slow(headers: Headers, writer: Writer) -> None:
    await asyncio.sleep(0.1)
    writer.write(whole(headers, "fine"))


class RestingTimeTests(testtools.TestCase):
    def test_part_of_what_a_target_announces_is_used(self) -> None:
        self.assertEqual(4.0, resting_time_s("timeout=5"))
        self.assertEqual(4.0, resting_time_s("max=100, Timeout = 5"))
        self.assertEqual(0.0, resting_time_s("timeout=0"))
        self.assertEqual(AT_MOST_S, resting_time_s("timeout=600"))

    def test_what_says_nothing_counts_as_not_given(self) -> None:
        for header in (None, "", "timeout", "timeout=-1", "timeout=x", "xtimeout=9", "9"):
            self.assertEqual(DEFAULT_S, resting_time_s(header), header)


class RestingBoundsTests(testtools.TestCase):
    def test_both_bounds_hold(self) -> None:
        bounds = RestingBounds(in_all=3, at_one=2)
        self.assertTrue(bounds.allow(2, 1))
        self.assertFalse(bounds.allow(3, 1))
        self.assertFalse(bounds.allow(2, 2))
        self.assertTrue(RestingBounds().allow(10_000, 10_000))


class ReuseTests(RelayCase):
    def opened(self, running: Running) -> int:
        return running.metrics.counters.get("connections", 0)

    def test_a_kept_connection_is_used_again(self) -> None:
        async def work(running: Running) -> None:
            for number in range(4):
                self.assertEqual(200, (await running.ask(Request=f"r{number}")).status)
            self.assertEqual(1, self.opened(running))

        self.relayed(work, kept_long)

    def test_one_that_the_target_does_not_keep_is_not_used_again(self) -> None:
        async def work(running: Running) -> None:
            for number in range(3):
                self.assertEqual(200, (await running.ask(Request=f"r{number}")).status)
            self.assertEqual(3, self.opened(running))

        self.relayed(work, not_kept)

    def test_no_more_rest_than_the_bound_allows(self) -> None:
        async def work(running: Running) -> None:
            running.resting.at_one = 1
            for _ in range(2):
                await asyncio.gather(*(running.ask(Request=f"r{n}") for n in range(3)))
            self.assertEqual(3 + 2, self.opened(running))

        self.relayed(work, slow)


class UnrepeatableTests(RelayCase):
    kind = RouteKind.UNSAFE

    def test_what_may_not_be_repeated_takes_no_kept_connection(self) -> None:
        async def work(running: Running) -> None:
            for number in range(3):
                self.assertEqual(200, (await running.ask(Request=f"r{number}")).status)
            self.assertNotIn("connections", running.metrics.counters)
            self.assertEqual(3, len(running.targets[0].seen))

        self.relayed(work, kept_long)


class CallerConnectionsTests(testtools.TestCase):
    def test_without_a_bound_all_are_served(self) -> None:
        connections = CallerConnections()
        entered = {connections.enter() for _ in range(1_000)}
        self.assertEqual({Admittance.SERVED}, entered)
        self.assertEqual(0.0, connections.share)

    def test_beyond_the_bound_they_are_refused_and_then_dropped(self) -> None:
        connections = CallerConnections(2)
        entered = [connections.enter() for _ in range(2 + SURPLUS_AT_MOST + 1)]
        self.assertEqual([Admittance.SERVED] * 2, entered[:2])
        self.assertEqual([Admittance.REFUSED] * SURPLUS_AT_MOST, entered[2:-1])
        self.assertIs(Admittance.DROPPED, entered[-1])
        for _ in entered:
            connections.leave()
        self.assertIs(Admittance.SERVED, connections.enter())


class CallersBoundTests(RelayCase):
    def test_one_too_many_is_told_so_and_its_connection_closed(self) -> None:
        async def work(running: Running) -> None:
            running.bounded.at_most = 1
            _, resting = await asyncio.open_connection("127.0.0.1", running.port)
            await self.until_open(running, 1)
            answer = await running.ask()
            self.assertEqual(503, answer.status)
            self.assertEqual(b"connections_full\n", answer.body)
            self.assertEqual("close", answer.headers["Connection"])
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual(1, running.metrics.counters["refused.connections_full"])
            self.assertEqual([], running.targets[0].seen)
            resting.close()
            await self.until_open(running, 0)
            self.assertEqual(200, (await running.ask()).status)

        self.relayed(work, good)

    def test_far_too_many_are_dropped_unread(self) -> None:
        async def work(running: Running) -> None:
            running.bounded.at_most = 1
            running.bounded.open = 1 + SURPLUS_AT_MOST
            with testtools.ExpectedException(aiohttp.ServerDisconnectedError):
                await running.ask()
            self.assertEqual(0, running.relay.taken_calls)
            await self.until_open(running, 1 + SURPLUS_AT_MOST)

        self.relayed(work, good)

    async def until_open(self, running: Running, number: int) -> None:
        async with asyncio.timeout(10):
            while running.bounded.open != number:
                await asyncio.sleep(0.01)
