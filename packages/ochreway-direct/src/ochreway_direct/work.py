# SPDX-License-Identifier: Apache-2.0
"""Work of entries, and sums and differences of it."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class Work:
    """Hold the requests under way and unread prompt tokens at each target, and the offered work.

    ``offered`` is the rate of arriving work for each model, in fully busy groups.
    """

    under_way: dict[str, int] = field(default_factory=dict)
    unread: dict[str, int] = field(default_factory=dict)
    offered: dict[ModelName, float] = field(default_factory=dict)


NO_WORK = Work()


def sum_work(works: Iterable[Work]) -> Work:
    """Return the sum of several entries' work."""
    under_way: Counter[str] = Counter()
    unread: Counter[str] = Counter()
    offered: dict[ModelName, float] = {}
    for work in works:
        under_way.update(work.under_way)
        unread.update(work.unread)
        for model, rate in work.offered.items():
            offered[model] = offered.get(model, 0.0) + rate
    return Work(dict(under_way), dict(unread), offered)


def subtract_work(work: Work, part: Work) -> Work:
    """Return a sum reduced by a part of it, with no count below zero."""
    offered = {m: max(0.0, rate - part.offered.get(m, 0.0)) for m, rate in work.offered.items()}
    return Work(
        dict(Counter(work.under_way) - Counter(part.under_way)),
        dict(Counter(work.unread) - Counter(part.unread)),
        offered,
    )


__all__ = ["NO_WORK", "Work", "sum_work", "subtract_work"]
