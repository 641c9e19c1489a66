# SPDX-License-Identifier: Apache-2.0
"""Ages and timers include the time for which the instance is suspended."""

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
from ochreway_runtime.suspension import MIN_SUSPENSION_S, SuspensionDetector
from tests.runtime.recordedlog import RecordedLog

SUSPENDED_S = 60.0


class SuspendableClock:
    """Simulate the clocks of an instance that is suspended at times."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def steady(self) -> float:
        return self.running() + self.suspended_s

    def running(self) -> float:
        return time.monotonic()


class SteadyLoopTests(testtools.TestCase):
    def run_on_loop(self, work: object) -> None:
        with asyncio.Runner(loop_factory=lambda: SteadyLoop(self.clock.steady)) as runner:
            runner.run(work(self.clock))  # type: ignore[operator]

    def setUp(self) -> None:
        super().setUp()
        self.clock = SuspendableClock()

    def test_a_key_proved_before_a_suspension_is_not_trusted_after_it(self) -> None:
        async def work(clock: SuspendableClock) -> None:
            loop = asyncio.get_running_loop()
            freshness = Freshness(5.0)
            freshness.prove(loop.time())
            self.assertTrue(freshness.keys_trusted(loop.time()))
            clock.suspended_s += SUSPENDED_S
            self.assertFalse(freshness.keys_trusted(loop.time()))
            freshness.prove(loop.time())
            self.assertTrue(freshness.keys_trusted(loop.time()))

        self.run_on_loop(work)

    def test_a_request_sent_before_a_suspension_proves_nothing_after_it(self) -> None:
        async def work(clock: SuspendableClock) -> None:
            loop = asyncio.get_running_loop()
            asked_s = loop.time()
            clock.suspended_s += SUSPENDED_S
            freshness = Freshness(5.0)
            freshness.prove(asked_s)
            self.assertFalse(freshness.keys_trusted(loop.time()))

        self.run_on_loop(work)

    def test_a_drained_hall_closes_during_a_suspension(self) -> None:
        async def work(clock: SuspendableClock) -> None:
            loop = asyncio.get_running_loop()
            drains, hall = HallDrains(5.0), HallId("h")
            drains.on_store_reading(DrainedHalls(Version(1), ()), loop.time())
            drains.on_store_reading(DrainedHalls(Version(2), (hall,)), loop.time())
            self.assertEqual(frozenset(), drains.closed(loop.time()))
            clock.suspended_s += SUSPENDED_S
            self.assertEqual({hall}, drains.closed(loop.time()))

        self.run_on_loop(work)

    def test_a_timer_due_during_a_suspension_runs_at_once_after_it(self) -> None:
        async def work(clock: SuspendableClock) -> None:
            loop = asyncio.get_running_loop()
            ran = asyncio.Event()
            loop.call_later(SUSPENDED_S, ran.set)
            clock.suspended_s += SUSPENDED_S
            async with asyncio.timeout_at(loop.time() + 5.0):
                await ran.wait()

        self.run_on_loop(work)

    def test_processes_run_on_the_steady_loop(self) -> None:
        async def work() -> float:
            return asyncio.get_running_loop().time() - steadyclock.now_s()

        self.assertLess(abs(steadyloop.run(work())), 1.0)


class SuspensionTests(testtools.TestCase):
    def test_each_suspension_is_counted_once(self) -> None:
        clock, metrics, log = SuspendableClock(), Metrics(None, "entry"), RecordedLog()
        watch = SuspensionDetector(log, metrics, clock.steady, clock.running)
        watch.tick(0.0)
        clock.suspended_s += SUSPENDED_S
        for _ in range(3):
            watch.tick(0.0)
        self.assertEqual({"instance.suspended": 1}, metrics.counters)
        clock.suspended_s += MIN_SUSPENSION_S / 2
        watch.tick(0.0)
        self.assertEqual({"instance.suspended": 1}, metrics.counters)
