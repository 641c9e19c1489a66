# SPDX-License-Identifier: Apache-2.0
"""The lines that tell what became of a request, and those that tell why."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_cli.explain.logline import LogLine
from ochreway_cli.explain.order import in_order

BEFORE_S = 10.0
AFTER_S = 1.0
"""How long before and after a request lines of the same process may bear on it."""
CLOCKS_DIFFER_S = 6.0
"""By how much more those of other processes may be apart, whose clocks may be off by seconds."""
ENDS_TARGETS = "ends_targets"
OF_OTHER_TRIES = frozenset(
    {"attempt", "request_suspected", "request_fatal", "request_on_trial", "request_cleared"}
)
"""Events that tell how targets ended under other tries of the same."""
DEPENDENCIES = frozenset(
    {
        "configuration_unavailable",
        "configuration_unavailable_over",
        "configuration_applied",
        "list_unavailable",
        "list_unavailable_over",
        "keys_trusted",
        "holder",
        "loop_stalled",
        "started",
        "stopping",
        "lines_dropped",
    }
)
"""What an entry tells of itself that bears on each of its requests."""
NOTICES = frozenset(
    {"target_backoff", "target_leaving", "target_limit", "target_limit_heard", "limit_pool"}
)
"""What targets asked of an entry, which bears on where its requests went."""
SCARCE = frozenset({"no_group", "queue_full"})
"""Reasons that come from the groups of a model there were, rather than from one of them."""


@dataclass(frozen=True, slots=True)
class Story:
    """Hold a request's own lines and those that bear on it, in order."""

    request: str
    own: list[LogLine]
    lines: list[LogLine]

    @property
    def end(self) -> LogLine | None:
        """Return the line that tells how the request ended, if it was written."""
        ends = [line for line in self.own if line.event in ("answered", "refused", "broken")]
        return ends[-1] if ends else None

    def about_group(self, line: LogLine) -> list[LogLine]:
        """Return what is told of the group that a line is about."""
        return [each for each in self.lines if each.event == "group" and each.group == line.group]

    def before(self, event: str, line: LogLine) -> LogLine | None:
        """Return the last line of an event that stands before another one."""
        place = self.lines.index(line)
        found = [each for each in self.lines[:place] if each.event == event]
        return found[-1] if found else None


def tell(request: str, lines: Iterable[LogLine]) -> Story:
    """Gather the lines that bear on a request; none when no line names it.

    By its fingerprint those of every try are its own.
    """
    known = list(lines)
    own = [line for line in known if _names(line, request)]
    if not own:
        return Story(request, [], [])
    found = [line for line in known if _names(line, request) or _bears(line, own)]
    blamed = {line.get("blamed") for line in found} - {""}
    found += [
        line
        for line in known
        if line.event == "engine_lost" and line.get("instance") in blamed and line not in found
    ]
    ordered = in_order(found)
    return Story(request, [line for line in ordered if _names(line, request)], ordered)


def _names(line: LogLine, request: str) -> bool:
    return request in (line.get("request"), line.get("fingerprint"))


def _bears(line: LogLine, own: list[LogLine]) -> bool:
    if _same_asked(line, own):
        return True
    if line.get("request"):
        return False
    if line.event == "group" and line.group in {each.group for each in own}:
        return True
    if not _near(line, own):
        return False
    if line.event == "group":
        return _same_group(line, own) or _scarce(line, own)
    if line.event in ("engine_lost", "order_fenced"):
        return line.get("instance") in _instances(own)
    if line.event == "lease_taken":
        return True
    return line.event in DEPENDENCIES | NOTICES and line.node in {each.node for each in own}


def _same_asked(line: LogLine, own: list[LogLine]) -> bool:
    """Tell whether a line is about other tries of what is asked for, where these decided."""
    fatal = [each.get("fingerprint") for each in own if each.get("reason") == ENDS_TARGETS]
    asked = line.get("fingerprint")
    return bool(asked) and asked in fatal and line.event in OF_OTHER_TRIES


def _near(line: LogLine, own: list[LogLine]) -> bool:
    begin_s = min(each.time_s - float(each.get("took_s") or 0.0) for each in own)
    end_s = max(each.time_s for each in own)
    off_s = 0.0 if line.node in {each.node for each in own} else CLOCKS_DIFFER_S
    return begin_s - BEFORE_S - off_s <= line.time_s <= end_s + AFTER_S + off_s


def _same_group(line: LogLine, own: list[LogLine]) -> bool:
    return bool(_instances(own) & set(line.get("members").split(",")))


def _scarce(line: LogLine, own: list[LogLine]) -> bool:
    return any(
        each.get("reason") in SCARCE and each.get("model") == line.get("model") for each in own
    )


def _instances(own: list[LogLine]) -> set[str]:
    found = {each.get("target") for each in own}
    for each in own:
        found |= set(each.get("tried").split(","))
    return found - {""}


__all__ = ["Story", "tell"]
