# SPDX-License-Identifier: Apache-2.0
"""Parsing of one line of a process log."""

import re
from dataclasses import dataclass
from datetime import datetime

_PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')
_LINE_START = re.compile(r"time=\S+ level=\S+ event=")


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line; ``number`` is its position in the log of its node."""

    node: str
    number: int
    time_s: float
    event: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field, or an empty string if the line does not have it."""
        return self.fields.get(name, "")

    @property
    def group(self) -> tuple[str, str]:
        """Return the group and the epoch that the line refers to."""
        return self.get("group"), self.get("epoch")


def parse_line(text: str, number: int) -> LogLine | None:
    """Parse a line; return None if it is not in the log format of ochreway.

    Any prefix before the ``time`` field, such as log collectors add, is skipped.
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
