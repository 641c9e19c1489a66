# SPDX-License-Identifier: Apache-2.0
"""Check the list of tests that are known to fail, and tell which of them pass.

``python .ci/knownred.py KNOWN-RED.txt`` ends with 1 when a line is not written as it has to be or
names a test that does not exist. A listed test that fails, or passes, does not change that.
"""

import re
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

SEPARATOR = " | "
FIELDS = ("test", "command and seed", "seen: what was seen", "issue N")
ISSUE = re.compile(r"issue \d+")
SEED = re.compile(r"\b(no seed|seeds? \d+)\b")
PLATFORM_TESTS = "platform/"


class Verdict(Enum):
    """Say what became of a listed test."""

    FAILS = "fails, as listed"
    PASSES = "passes, still listed"
    MISSING = "does not exist"


VERDICTS = {0: Verdict.PASSES, 1: Verdict.FAILS}
"""By what pytest ends with; anything else says that it found no such test."""


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold one line of the list."""

    test: str
    command: str
    seen: str
    issue: str


def read_entry(line: str) -> Entry:
    """Return what a line says.

    Raises:
        ValueError: when a field is missing, or says something else.
    """
    fields = line.split(SEPARATOR)
    if len(fields) != len(FIELDS):
        raise ValueError(f"{len(fields)} fields, not {len(FIELDS)}: {SEPARATOR.join(FIELDS)}")
    entry = Entry(*(field.strip() for field in fields))
    checks = (
        ("::" in entry.test, "the first field names no test"),
        ("python" in entry.command, "the second field has no command"),
        (SEED.search(entry.command) is not None, "the second field names no seed"),
        (entry.seen.startswith("seen:"), "the third field does not say what was seen"),
        (ISSUE.fullmatch(entry.issue) is not None, "the last field names no issue"),
    )
    for holds, fault in checks:
        if not holds:
            raise ValueError(fault)
    return entry


def play(entry: Entry) -> Verdict:
    """Run a listed test."""
    mode = ["--import-mode=prepend"] if entry.test.startswith(PLATFORM_TESTS) else []
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *mode, entry.test]
    ended = subprocess.run(command, capture_output=True, check=False)
    return VERDICTS.get(ended.returncode, Verdict.MISSING)


def check(
    lines: Sequence[str], run: Callable[[Entry], Verdict], tell: Callable[[str], None]
) -> bool:
    """Tell of each line whether its test fails; return whether all lines are as they have to be."""
    sound = True
    for number, line in enumerate(lines, start=1):
        try:
            entry = read_entry(line)
        except ValueError as fault:
            tell(f"line {number}: {fault}")
            sound = False
            continue
        verdict = run(entry)
        tell(f"{verdict.value}: {line}")
        sound = sound and verdict is not Verdict.MISSING
    return sound


def main(path: Path) -> int:
    """Check a list; one that does not exist is empty."""
    text = path.read_text() if path.exists() else ""
    lines = [line for line in text.splitlines() if line.strip()]
    if not lines:
        print("no test is known to fail")
    return 0 if check(lines, play, print) else 1


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
