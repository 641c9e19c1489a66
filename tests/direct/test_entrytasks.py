# SPDX-License-Identifier: Apache-2.0
"""Errors in each task and timer of an entry, which ended unseen while the process lived on."""

import asyncio
from typing import Any
from unittest import mock

import testtools

from ochreway_direct.entry import GIVEN_UP_REST_S, MAX_FAILING_S, DirectEntry
from ochreway_direct.leases.lease import LEASE_KEY, decode_lease_row
from ochreway_direct.settings import DirectSettings
from ochreway_direct.timing import DirectTiming
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime import supervisor
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

TIMING = DirectTiming(tick_s=0.002, heartbeat_s=0.004, fleet_update_s=0.004)
SERVICE_TASKS = {
    "timer": ("timer", "run"),
    "configurations": ("_configurations", "run"),
    "list": ("_list_follower", "run"),
    "lease": ("_lease_keeper", "run"),
    "loans": ("_loan_keeper", "run"),
    "crashes": ("_crash_keeper", "run"),
}
TIMERS = {
    "_heartbeats": "send",
    "_dependencies": "check",
    "_home_check": "check",
    "_crash_spread": "announce_again",
    "resources": "check",
    "_sharing": "publish",
    "lag": "tick",
}


def new_entry(metrics: Metrics) -> DirectEntry:
    services: Any = mock.MagicMock()
    services.table = MemoryTable()
    settings = DirectSettings(
        *("e", "h", "adapter", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:0", "http://h:4"),
        link_key="k" * 32,
    )
    log = EventLog("entry", "e", "critical")
    return DirectEntry(settings, services, TIMING, log, metrics)


class EntryTaskTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = Metrics(None, "entry")
        patch = mock.patch.object(supervisor, "RESTART_DELAY_S", 0.001)
        patch.start()
        self.addCleanup(patch.stop)

    async def wait_for(self, count: str, number: int) -> None:
        async with asyncio.timeout(10.0):
            while self.metrics.counters.get(count, 0) < number:
                await asyncio.sleep(0.002)

    def test_each_service_task_that_fails_is_counted_and_started_again(self) -> None:
        for name, (part, method) in SERVICE_TASKS.items():

            async def work(name: str = name, part: str = part, method: str = method) -> None:
                self.metrics = Metrics(None, "entry")
                entry = new_entry(self.metrics)
                failing = mock.AsyncMock(side_effect=ValueError("planted"))
                setattr(getattr(entry, part), method, failing)
                await entry.start()
                await self.wait_for(f"internal_error.{name}", 2)
                self.assertGreaterEqual(failing.call_count, 2)
                await entry.stop()

            asyncio.run(work())

    def test_no_timer_that_fails_stops_another(self) -> None:
        for part, method in TIMERS.items():

            async def work(part: str = part, method: str = method) -> None:
                metrics = self.metrics = Metrics(None, "entry")
                entry = new_entry(metrics)
                ticks = mock.MagicMock(wraps=entry._drains.tick)
                entry._drains.tick = ticks  # type: ignore[method-assign]
                failing = mock.MagicMock(side_effect=ValueError("planted"))
                with mock.patch.object(type(getattr(entry, part)), method, failing):
                    await entry.start()
                    async with asyncio.timeout(10.0):
                        while failing.call_count < 2 or ticks.call_count < 5:
                            await asyncio.sleep(0.002)
                counted = [n for n in metrics.counters if n.startswith("internal_error.")]
                self.assertNotEqual([], counted, part)
                await entry.stop()

            asyncio.run(work())

    def test_an_entry_whose_coordinator_fails_leaves_the_lease_to_others(self) -> None:
        async def work() -> None:
            entry = new_entry(self.metrics)
            now_s = entry._loop.time()
            await entry.lease.observe(now_s)
            await entry.lease.acquire(now_s)
            entry.coordination.run_tick = mock.MagicMock(  # type: ignore[method-assign]
                side_effect=ValueError("planted")
            )
            with mock.patch.object(entry, "_loop") as loop:
                for n in range(round(MAX_FAILING_S / 0.25) + 2):
                    loop.time.return_value = now_s + 0.25 * n
                    entry._tick_due_s = 0.0
                    entry._tick_coordinator()
            await asyncio.sleep(0)
            row = entry.lease._table.rows[LEASE_KEY]  # type: ignore[attr-defined]
            self.assertFalse(entry.lease.held)
            stored = decode_lease_row(row)
            assert stored is not None
            self.assertTrue(stored.released)
            self.assertGreaterEqual(entry._lease_keeper._observe_due_s, now_s + GIVEN_UP_REST_S)
            self.assertEqual(1, self.metrics.counters["lease.given_up"])

        asyncio.run(work())
