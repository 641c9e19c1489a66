# SPDX-License-Identifier: Apache-2.0
import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import testtools

SCRIPT = Path(__file__).parents[1] / ".ci" / "knownred.py"
GOOD = "tests/a.py::T::test_x | python -m pytest tests/a.py, seed 1 | seen: 2 of 3 | issue 4"


def load() -> ModuleType:
    spec = importlib.util.spec_from_file_location("knownred", SCRIPT)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["knownred"] = module
    spec.loader.exec_module(module)
    return module


class KnownRedTests(testtools.TestCase):
    def checked(self, *lines: str, verdict: str = "FAILS") -> tuple[bool, list[str]]:
        script = load()
        told: list[str] = []
        return script.check(lines, lambda entry: script.Verdict[verdict], told.append), told

    def test_a_test_that_fails_or_passes_is_told_and_changes_nothing(self) -> None:
        self.assertEqual((True, [f"fails, as listed: {GOOD}"]), self.checked(GOOD))
        passes = self.checked(GOOD, verdict="PASSES")
        self.assertEqual((True, [f"passes, still listed: {GOOD}"]), passes)

    def test_a_test_that_does_not_exist_is_an_error(self) -> None:
        self.assertFalse(self.checked(GOOD, verdict="MISSING")[0])

    def test_a_line_that_lacks_a_field_is_an_error(self) -> None:
        fields = GOOD.split(" | ")
        lacking = [" | ".join(fields[:n] + fields[n + 1 :]) for n in range(len(fields))]
        vague = [
            GOOD.replace("::", " "),
            GOOD.replace("python", "run"),
            GOOD.replace(", seed 1", ""),
            GOOD.replace("seen:", ""),
            GOOD.replace("issue 4", "somewhere"),
        ]
        for line in [*lacking, *vague]:
            self.assertFalse(self.checked(line)[0], line)

    def test_the_list_of_this_project_is_well_formed(self) -> None:
        script = load()
        path = SCRIPT.parents[1] / "KNOWN-RED.txt"
        text = path.read_text() if path.exists() else ""
        for line in filter(str.strip, text.splitlines()):
            script.read_entry(line)
