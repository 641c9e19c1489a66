# SPDX-License-Identifier: Apache-2.0
"""Work of entries, and sums and differences of it."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ochreway_direct.demand.refusals import NO_REFUSALS, Refusals
from ochreway_direct.ids import ModelName
from ochreway_direct.queueing.countbounds import bounded_organisations
from ochreway_direct.queueing.waitingcalls import (
    NO_WAITING_CALLS,
    WaitingCalls,
    bounded_waiting,
    subtract_waiting,
    sum_waiting,
)


@dataclass(frozen=True, slots=True)
class Work:
    """Hold the requests under way and unread prompt tokens at each target, and the offered work.

    ``offered`` is the rate of arriving work for each model, in fully busy groups. ``measured_s``
    is for how long an entry has measured it, the longest time of several entries, or None where no
    entry reports it. ``refusals`` are the sender's own: a sum of work has none.
    ``waiting`` are the calls that wait in queues, and ``served_by`` the requests under way that
    queues gave a place to, by organisation. Both are empty at an entry without queues.
    """

    under_way: dict[str, int] = field(default_factory=dict)
    unread: dict[str, int] = field(default_factory=dict)
    offered: dict[ModelName, float] = field(default_factory=dict)
    measured_s: float | None = None
    refusals: Refusals = NO_REFUSALS
    waiting: WaitingCalls = NO_WAITING_CALLS
    served_by: dict[str, int] = field(default_factory=dict)


NO_WORK = Work()


def sum_work(works: Iterable[Work]) -> Work:
    """Return the sum of several entries' work."""
    works = tuple(works)
    under_way: Counter[str] = Counter()
    unread: Counter[str] = Counter()
    offered: dict[ModelName, float] = {}
    measured_s: float | None = None
    served_by: Counter[str] = Counter()
    for work in works:
        under_way.update(work.under_way)
        unread.update(work.unread)
        for model, rate in work.offered.items():
            offered[model] = offered.get(model, 0.0) + rate
        measured_s = longest(measured_s, work.measured_s)
        served_by.update(work.served_by)
    return Work(
        *(dict(under_way), dict(unread), offered, measured_s),
        waiting=sum_waiting(work.waiting for work in works),
        served_by=dict(served_by),
    )


def subtract_work(work: Work, part: Work) -> Work:
    """Return a sum reduced by a part of it, with no count below zero.

    If the part has the longest time of measurement, that of the rest is not known, and is 0.
    """
    offered = {m: max(0.0, rate - part.offered.get(m, 0.0)) for m, rate in work.offered.items()}
    return Work(
        dict(Counter(work.under_way) - Counter(part.under_way)),
        dict(Counter(work.unread) - Counter(part.unread)),
        offered,
        0.0 if part.measured_s and part.measured_s == work.measured_s else work.measured_s,
        waiting=subtract_waiting(work.waiting, part.waiting),
        served_by=dict(Counter(work.served_by) - Counter(part.served_by)),
    )


def bounded_work(work: Work) -> Work:
    """Return work with as many counts of queues as a heartbeat holds."""
    return replace(
        work,
        waiting=bounded_waiting(work.waiting),
        served_by=bounded_organisations(work.served_by),
    )


def longest(measured_s: float | None, other_s: float | None) -> float | None:
    """Return the longer of two times of measurement, or None if neither is known."""
    known = [each for each in (measured_s, other_s) if each is not None]
    return max(known, default=None)


__all__ = ["NO_WORK", "Work", "bounded_work", "longest", "sum_work", "subtract_work"]
