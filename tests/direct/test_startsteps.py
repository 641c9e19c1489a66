# SPDX-License-Identifier: Apache-2.0
import subprocess
import sys
from typing import Any

import testtools

from ochreway_direct.startsteps import StartSteps
from ochreway_runtime.logs import EventLog


class RecordedLines(EventLog):
    """Record events instead of writing them."""

    def __init__(self) -> None:
        super().__init__("entry", "e", "error")
        self.recorded: list[tuple[str, dict[str, Any]]] = []

    def event(self, name: str, **fields: object) -> None:
        self.recorded.append((name, fields))


class StartStepsTests(testtools.TestCase):
    def test_one_line_shows_when_each_step_was_reached(self) -> None:
        log = RecordedLines()
        done: set[str] = set()
        names = ("list", "groups")
        steps = {name: lambda _, name=name: name in done for name in names}
        start = StartSteps(steps, 10.0, log)
        start.check(10.1)
        done.add("groups")
        start.check(10.25)
        self.assertEqual([], log.recorded)
        done.add("list")
        start.check(10.5)
        start.check(10.6)
        ((name, fields),) = log.recorded
        self.assertEqual("start_steps", name)
        self.assertEqual({"groups_ms": 250, "list_ms": 500}, fields)


class ImportTests(testtools.TestCase):
    def test_an_entry_starts_without_the_metrics_library(self) -> None:
        code = (
            "import sys, ochreway_direct.main;"
            "print([name for name in ('prometheus_client', 'wsgiref') if name in sys.modules])"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertEqual(b"[]", done.stdout.strip())
