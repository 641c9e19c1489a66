# SPDX-License-Identifier: Apache-2.0
"""A suspension counts in every age and every timer."""

import asyncio
import time

import testtools

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId, Version
from ochreway_direct.drains.halldrains import HallDrains
from ochreway_direct.versions.freshness import Freshness
from ochreway_runtime import steadyclock, steadyloop
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.steadyloop import SteadyLoop
from ochreway_runtime.suspension import NOTED_S, Suspension
from tests.runtime.recordedlog import RecordedLog

SUSPENDED_S = 60.0


class Clock:
    """Stand for the clock of an instance that is suspended now and then."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def steady(self) -> float:
        return self.running() + self.suspended_s

    def running(self) -> float:
        return time.monotonic()


class SteadyLoopTests(testtools.TestCase):
    def on_loop(self, work: object) -> None:
        with asyncio.Runner(loop_factory=lambda: SteadyLoop(self.clock.steady)) as runner:
            runner.run(work(self.clock))  # type: ignore[operator]

    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()

    def test_a_key_that_was_proved_before_it_is_not_trusted_after_it(self) -> None:
        async def work(clock: Clock) -> None:
            loop = asyncio.get_running_loop()
            freshness = Freshness(5.0)
            freshness.prove(loop.time())
            self.assertTrue(freshness.keys_trusted(loop.time()))
            clock.suspended_s += SUSPENDED_S
            self.assertFalse(freshness.keys_trusted(loop.time()))
            freshness.prove(loop.time())
            self.assertTrue(freshness.keys_trusted(loop.time()))

        self.on_loop(work)

    def test_what_was_asked_for_before_it_proves_nothing_after_it(self) -> None:
        async def work(clock: Clock) -> None:
            loop = asyncio.get_running_loop()
            asked_s = loop.time()
            clock.suspended_s += SUSPENDED_S
            freshness = Freshness(5.0)
            freshness.prove(asked_s)
            self.assertFalse(freshness.keys_trusted(loop.time()))

        self.on_loop(work)

    def test_a_drained_hall_closes_meanwhile(self) -> None:
        async def work(clock: Clock) -> None:
            loop = asyncio.get_running_loop()
            drains, hall = HallDrains(5.0), HallId("h")
            drains.on_store_reading(DrainedHalls(Version(1), ()), loop.time())
            drains.on_store_reading(DrainedHalls(Version(2), (hall,)), loop.time())
            self.assertEqual(frozenset(), drains.closed(loop.time()))
            clock.suspended_s += SUSPENDED_S
            self.assertEqual({hall}, drains.closed(loop.time()))

        self.on_loop(work)

    def test_what_fell_due_meanwhile_runs_at_once(self) -> None:
        async def work(clock: Clock) -> None:
            loop = asyncio.get_running_loop()
            ran = asyncio.Event()
            loop.call_later(SUSPENDED_S, ran.set)
            clock.suspended_s += SUSPENDED_S
            async with asyncio.timeout_at(loop.time() + 5.0):
                await ran.wait()

        self.on_loop(work)

    def test_processes_run_under_it(self) -> None:
        async def work() -> float:
            return asyncio.get_running_loop().time() - steadyclock.now_s()

        self.assertLess(abs(steadyloop.run(work())), 1.0)


class SuspensionTests(testtools.TestCase):
    def test_each_suspension_is_told_once_with_its_length(self) -> None:
        clock, metrics, log = Clock(), Metrics(None, "entry"), RecordedLog()
        watch = Suspension(log, metrics, clock.steady, clock.running)
        watch.tick(0.0)
        clock.suspended_s += SUSPENDED_S
        for _ in range(3):
            watch.tick(0.0)
        self.assertEqual({"instance.suspended": 1}, metrics.counters)
        clock.suspended_s += NOTED_S / 2
        watch.tick(0.0)
        self.assertEqual({"instance.suspended": 1}, metrics.counters)
