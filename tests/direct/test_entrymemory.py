# SPDX-License-Identifier: Apache-2.0
"""Which parts of an entry a bound on its memory calls for."""

import asyncio
from typing import Any
from unittest import mock

import testtools

from ochreway_direct.bounds.resourcebounds import bounds_of
from ochreway_direct.entry import DirectEntry
from ochreway_direct.settings import DirectSettings
from ochreway_direct.timing import DirectTiming
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


def settings(memory_mb: float) -> DirectSettings:
    return DirectSettings(
        *("e", "h", "adapter", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "http://127.0.0.1:4"),
        link_key="k" * 32,
        memory_mb=memory_mb,
    )


class EntryMemoryTests(testtools.TestCase):
    def entry_gauges(self, memory_mb: float) -> dict[str, float]:
        async def run() -> dict[str, float]:
            services: Any = mock.MagicMock()
            log = EventLog("entry", "e", "critical")
            entry = DirectEntry(
                settings(memory_mb), services, DirectTiming(), log, Metrics(None, "entry")
            )
            self.assertEqual(memory_mb > 0, entry.buffers is not None)
            return entry.gauges()

        return asyncio.run(run())

    def test_a_quarter_of_the_memory_is_for_bodies_and_unread_answers(self) -> None:
        self.assertEqual(38_000_000, bounds_of(settings(152)).held_bytes)
        self.assertIsNone(bounds_of(settings(0)).held_bytes)

    def test_without_a_bound_nothing_is_counted(self) -> None:
        self.assertNotIn("held_bytes", self.entry_gauges(0))

    def test_with_a_bound_the_entry_reports_what_it_holds(self) -> None:
        gauges = self.entry_gauges(152)
        self.assertEqual((0.0, 0.0), (gauges["held_bytes"], gauges["held_bytes_share"]))
