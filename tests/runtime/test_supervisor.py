# SPDX-License-Identifier: Apache-2.0
"""Tasks and callbacks that fail while their process goes on."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import testtools

from ochreway_runtime import supervisor as module
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.supervisor import Supervisor
from ochreway_runtime.timer import TimerService


def fail(*_: object) -> None:
    raise ValueError("planted")


class SupervisorTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = Metrics(None, "entry")
        self.log = mock.MagicMock(spec=EventLog)
        self.supervisor = Supervisor(self.log, self.metrics)
        patch = mock.patch.object(module, "RESTART_DELAY_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def run_for_a_while(self, work: Coroutine[Any, Any, None]) -> None:
        async def run() -> None:
            await work
            self.supervisor.cancel_all()

        asyncio.run(run())

    def test_a_failed_subscriber_of_the_timer_is_called_again_and_stops_no_other(self) -> None:
        called: list[float] = []

        async def work() -> None:
            timer = TimerService(0.001, self.supervisor)
            timer.every(0.0, fail)
            timer.every(0.0, called.append)
            self.supervisor.keep("timer", timer.run)
            while len(called) < 3:
                await asyncio.sleep(0.001)

        self.run_for_a_while(work())
        self.assertGreaterEqual(self.metrics.counters["internal_error.fail"], 3)
        self.log.fault.assert_called()

    def test_a_service_task_that_ends_is_started_again(self) -> None:
        for ending in (None, ValueError("planted")):
            starts: list[int] = []

            async def service(ending: Exception | None = ending) -> None:
                starts.append(1)  # noqa: B023
                if ending is not None:
                    raise ending

            async def work() -> None:
                self.supervisor.keep("service", service)  # noqa: B023
                while len(starts) < 3:  # noqa: B023
                    await asyncio.sleep(0)

            self.run_for_a_while(work())
        self.assertGreaterEqual(self.metrics.counters["internal_error.service"], 4)

    def test_the_error_of_a_task_and_of_a_callback_of_the_loop_is_counted(self) -> None:
        async def failing_work() -> None:
            fail()

        async def work() -> None:
            self.supervisor.watch_loop()
            self.supervisor.spawn(failing_work())
            asyncio.get_running_loop().call_soon(fail)
            await asyncio.sleep(0.01)

        self.run_for_a_while(work())
        self.assertEqual(1, self.metrics.counters["internal_error.failing_work"])
        self.assertEqual(1, self.metrics.counters["internal_error.loop"])
