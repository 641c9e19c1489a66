# SPDX-License-Identifier: Apache-2.0
"""An event that fails in a native entry or an agent, whose process lives on."""

import asyncio
from collections import deque
from types import SimpleNamespace
from typing import Any

import testtools

from ochreway_daemon.shell import Shell
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.supervisor import Supervisor
from tests.runtime.recordedlog import RecordedLog


class MailboxTests(testtools.TestCase):
    def test_an_event_that_fails_does_not_end_the_mailbox(self) -> None:
        # The task that handles events ended unseen, and the process answered nobody any more.
        metrics, log = Metrics(None, "agent"), RecordedLog()
        handled: list[float] = []

        def fail(_: float) -> None:
            raise ValueError("planted")

        async def work() -> None:
            shell: Any = object.__new__(Shell)
            shell.supervisor = Supervisor(log, metrics)
            shell._node = SimpleNamespace(take=list)
            shell._mailbox, shell._mailbox_filled = deque[Any](), asyncio.Event()
            for event in (fail, handled.append, fail, handled.append):
                shell.post(event)
            shell.supervisor.keep("mailbox", shell.run_mailbox)
            async with asyncio.timeout(10.0):
                while len(handled) < 2:
                    await asyncio.sleep(0)
            shell.supervisor.cancel_all()

        asyncio.run(work())
        self.assertEqual({"internal_error.event": 2}, metrics.counters)
        self.assertIn("internal_error", [name for name, _ in log.events])
