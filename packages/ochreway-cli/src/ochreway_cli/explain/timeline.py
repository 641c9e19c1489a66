# SPDX-License-Identifier: Apache-2.0
"""The log lines of a request and those that explain its outcome."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_cli.explain.logline import LogLine
from ochreway_cli.explain.order import causal_order

WINDOW_BEFORE_S = 10.0
WINDOW_AFTER_S = 1.0
"""How long before and after a request lines of the same process are still relevant to it."""
MAX_CLOCK_SKEW_S = 6.0
"""Extends the window for lines of other processes, whose clocks may be off by seconds."""
ENDS_TARGETS = "ends_targets"
FATAL_REQUEST_EVENTS = frozenset(
    {"attempt", "request_suspected", "request_fatal", "request_on_trial", "request_cleared"}
)
"""Events that show how targets crashed under other tries of the same request."""
PART_REASONS = frozenset({"prompt_part_ends_targets", "may_end_targets"})
FATAL_PART_EVENTS = frozenset({"part_fatal", "crash_cause_released", "request_on_trial"})
"""Events that show how targets crashed under other requests with the same part."""
CAUSE_PREFIX = "part:"
ENTRY_EVENTS = frozenset(
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
"""Events about the state of an entry, which affect each of its requests."""
TARGET_NOTICE_EVENTS = frozenset(
    {"target_backoff", "target_leaving", "target_limit", "target_limit_heard", "limit_pool"}
)
"""Events for notices from targets, which affect where an entry sends its requests."""
SCARCITY_REASONS = frozenset({"no_group", "queue_full"})
"""Reasons caused by the groups of a model as a whole rather than by one of them."""


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """The lines that name a request (``own``) and all relevant lines, in causal order."""

    request: str
    own: list[LogLine]
    lines: list[LogLine]

    @property
    def end(self) -> LogLine | None:
        """Return the line that records how the request ended, or None if there is none."""
        ends = [line for line in self.own if line.event in ("answered", "refused", "broken")]
        return ends[-1] if ends else None

    def group_events(self, line: LogLine) -> list[LogLine]:
        """Return the ``group`` lines of the group that a line refers to."""
        return [
            log_line
            for log_line in self.lines
            if log_line.event == "group" and log_line.group == line.group
        ]

    def last_before(self, event: str, line: LogLine) -> LogLine | None:
        """Return the last line of an event before the given line, or None."""
        position = self.lines.index(line)
        earlier = [log_line for log_line in self.lines[:position] if log_line.event == event]
        return earlier[-1] if earlier else None


def build_timeline(request: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Collect the lines relevant to a request; the timeline is empty if no line names it.

    ``request`` may also be a fingerprint: the lines of every try with it count as own lines.
    """
    all_lines = list(lines)
    own = [line for line in all_lines if _mentions(line, request)]
    if not own:
        return RequestTimeline(request, [], [])
    relevant = [line for line in all_lines if _mentions(line, request) or _is_relevant(line, own)]
    blamed = {line.get("blamed") for line in relevant} - {""}
    relevant += [
        line
        for line in all_lines
        if line.event == "engine_lost" and line.get("instance") in blamed and line not in relevant
    ]
    ordered = causal_order(relevant)
    return RequestTimeline(request, [line for line in ordered if _mentions(line, request)], ordered)


def _mentions(line: LogLine, request: str) -> bool:
    return request in (line.get("request"), line.get("fingerprint"))


def _is_relevant(line: LogLine, own: list[LogLine]) -> bool:
    if _is_other_try(line, own) or _is_about_part(line, own):
        return True
    if line.get("request"):
        return False
    if line.event == "group" and line.group in {log_line.group for log_line in own}:
        return True
    if not _is_near(line, own):
        return False
    if line.event == "group":
        return _shares_instance(line, own) or _is_scarce_model(line, own)
    if line.event in ("engine_lost", "order_fenced"):
        return line.get("instance") in _tried_instances(own)
    if line.event == "lease_taken":
        return True
    return line.event in ENTRY_EVENTS | TARGET_NOTICE_EVENTS and line.node in {
        log_line.node for log_line in own
    }


def _is_other_try(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether a line is about other tries of a request refused for crashing targets."""
    fatal_fingerprints = [
        log_line.get("fingerprint") for log_line in own if log_line.get("reason") == ENDS_TARGETS
    ]
    fingerprint = line.get("fingerprint")
    return (
        bool(fingerprint)
        and fingerprint in fatal_fingerprints
        and line.event in FATAL_REQUEST_EVENTS
    )


def prompt_parts(line: LogLine) -> set[str]:
    """Return the parts of a prompt that a line names."""
    return set(line.get("parts").split(",")) - {""}


def named_part(line: LogLine) -> str:
    """Return the part that a line names as the cause of crashes, without its model."""
    return line.get("cause").removeprefix(CAUSE_PREFIX).partition("@")[0]


def _is_about_part(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether a line is about a part for which a request was refused."""
    refused = [log_line for log_line in own if log_line.get("reason") in PART_REASONS]
    return line.event in FATAL_PART_EVENTS and any(
        named_part(line) in prompt_parts(log_line) for log_line in refused
    )


def _is_near(line: LogLine, own: list[LogLine]) -> bool:
    start_s = min(log_line.time_s - float(log_line.get("took_s") or 0.0) for log_line in own)
    end_s = max(log_line.time_s for log_line in own)
    skew_s = 0.0 if line.node in {log_line.node for log_line in own} else MAX_CLOCK_SKEW_S
    return start_s - WINDOW_BEFORE_S - skew_s <= line.time_s <= end_s + WINDOW_AFTER_S + skew_s


def _shares_instance(line: LogLine, own: list[LogLine]) -> bool:
    return bool(_tried_instances(own) & set(line.get("members").split(",")))


def _is_scarce_model(line: LogLine, own: list[LogLine]) -> bool:
    return any(
        log_line.get("reason") in SCARCITY_REASONS and log_line.get("model") == line.get("model")
        for log_line in own
    )


def _tried_instances(own: list[LogLine]) -> set[str]:
    instances = {log_line.get("target") for log_line in own}
    for log_line in own:
        instances |= set(log_line.get("tried").split(","))
    return instances - {""}


__all__ = ["RequestTimeline", "build_timeline", "named_part", "prompt_parts"]
