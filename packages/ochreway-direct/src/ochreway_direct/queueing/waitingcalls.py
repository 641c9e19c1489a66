# SPDX-License-Identifier: Apache-2.0
"""What a heartbeat reports of the calls that wait."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ochreway_direct.ids import ModelName
from ochreway_direct.queueing.countbounds import bounded_counts
from ochreway_routing.work import Urgency

CALLS_MAX_BYTES = 400
"""Bound on the counts of waiting calls in a heartbeat."""
ENTRIES_MAX_BYTES = 200
"""Bound on the counts of waiting entries in a heartbeat."""


@dataclass(frozen=True, slots=True)
class WaitingCalls:
    """Report calls that wait, and the entries at which they wait.

    Attributes:
        calls: number of calls for each key of a class and model.
        entries: number of entries with waiting calls for each model.
    """

    calls: dict[str, int] = field(default_factory=dict)
    entries: dict[ModelName, int] = field(default_factory=dict)


NO_WAITING_CALLS = WaitingCalls()


def waiting_key(urgency: Urgency, model: ModelName) -> str:
    """Return the key under which the calls of a class and model are counted."""
    refusable, priority, route_priority = urgency
    return f"{int(refusable)}.{priority}.{route_priority}/{model}"


def parse_waiting_key(key: str) -> tuple[Urgency, ModelName] | None:
    """Return the class and model of a key, or None if it has another form."""
    text, _, model = key.partition("/")
    try:
        refusable, priority, route_priority = (int(each) for each in text.split("."))
    except ValueError:
        return None
    return (bool(refusable), priority, route_priority), ModelName(model)


def count_waiting(by_model: Iterable[tuple[ModelName, Mapping[Urgency, int]]]) -> WaitingCalls:
    """Return the report of one entry's waiting calls."""
    calls: Counter[str] = Counter()
    entries: dict[ModelName, int] = {}
    for model, by_class in by_model:
        for urgency, number in by_class.items():
            calls[waiting_key(urgency, model)] += number
            entries[model] = 1
    return WaitingCalls(dict(calls), entries)


def sum_waiting(reports: Iterable[WaitingCalls]) -> WaitingCalls:
    """Return the sum of several reports."""
    calls: Counter[str] = Counter()
    entries: Counter[ModelName] = Counter()
    for each in reports:
        calls.update(each.calls)
        entries.update(each.entries)
    return WaitingCalls(dict(calls), dict(entries))


def subtract_waiting(report: WaitingCalls, part: WaitingCalls) -> WaitingCalls:
    """Return a sum reduced by a part of it, with no count below zero."""
    return WaitingCalls(
        dict(Counter(report.calls) - Counter(part.calls)),
        dict(Counter(report.entries) - Counter(part.entries)),
    )


def bounded_waiting(report: WaitingCalls) -> WaitingCalls:
    """Return what a heartbeat holds of a report: the most urgent classes first."""
    classes = sorted(report.calls, key=lambda key: parse_waiting_key(key) or ((True, 0, 0), key))
    models = sorted(report.entries, key=lambda model: (-report.entries[model], model))
    return WaitingCalls(
        bounded_counts(report.calls, classes, CALLS_MAX_BYTES),
        bounded_counts(report.entries, models, ENTRIES_MAX_BYTES),
    )


__all__ = [
    "NO_WAITING_CALLS",
    "WaitingCalls",
    "bounded_waiting",
    "count_waiting",
    "parse_waiting_key",
    "subtract_waiting",
    "sum_waiting",
    "waiting_key",
]
