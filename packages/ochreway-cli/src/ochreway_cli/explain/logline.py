# SPDX-License-Identifier: Apache-2.0
"""One line of a process's log."""

import re
from dataclasses import dataclass
from datetime import datetime

_PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')
_LINE_START = re.compile(r"time=\S+ level=\S+ event=")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold what a line says; ``number`` is its place in the log of its node."""

    node: str
    number: int
    time_s: float
    event: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field, empty when the line lacks it."""
        return self.fields.get(name, "")

    @property
    def group(self) -> tuple[str, str]:
        """Return the group and the epoch that the line is about."""
        return self.get("group"), self.get("epoch")


def parse_line(text: str, number: int) -> LogLine | None:
    """Return what a line says, or None for one that no process of ours wrote.

    Whatever stands before its time, as collectors of logs put there, is passed over.
    """
    prefix_match = _LINE_START.search(text)
    if prefix_match is None:
        return None
    fields = {name: value.strip('"') for name, value in _PAIR.findall(text[prefix_match.start() :])}
    try:
        time_s = datetime.fromisoformat(fields["time"].replace("Z", "+00:00")).timestamp()
    except ValueError:
        return None
    event = fields.pop("event")
    return LogLine(fields.get("node", ""), number, time_s, event, fields)


__all__ = ["LogLine", "parse_line"]
