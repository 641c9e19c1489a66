# SPDX-License-Identifier: Apache-2.0
"""Rate of work offered to this entry for each model."""

from collections import defaultdict
from collections.abc import Mapping

from ochreway_direct.demand.decayingsum import DECAY_S, DecayingSum, effective_time_s
from ochreway_direct.ids import ModelName

START_S = 1.0
"""Time after a start in which callers return that could reach no entry before."""
START_COUNTS_FOR_S = DECAY_S - 1.0
"""Time after a start for which the work of those callers counts.

It ends before entries plan from what others report, by more than the age of those reports.
"""


class DemandMeter:
    """Hold an exponentially decaying rate of offered work for each model, in fully busy groups.

    A decaying sum that has just begun underestimates the rate: by four fifths after one second. It
    is divided by the effective time that it covers, so that the first second of requests already
    shows how much work is offered, and for which model.

    In the first ``START_S`` after a loss, callers from before the loss return together. Their work
    is offered, but is no measure of a stationary rate: it is left out after
    ``START_COUNTS_FOR_S``.
    """

    def __init__(self, started_s: float | None = None) -> None:
        """Start without requests; ``started_s`` is when the entry started, if it just has."""
        self._started_s = started_s
        self._start_sums: defaultdict[ModelName, DecayingSum] = defaultdict(DecayingSum)
        self._sums: defaultdict[ModelName, DecayingSum] = defaultdict(DecayingSum)
        self._first_recorded_s: float | None = None

    def record_work(self, model: ModelName, work_s: float, now_s: float) -> None:
        """Add the work of an arriving request, in seconds of a group."""
        if self._first_recorded_s is None:
            self._first_recorded_s = now_s
        self._sums[model].add(work_s, now_s)
        if self._in_start(now_s):
            self._start_sums[model].add(work_s, now_s)

    def withdraw_work(
        self, model: ModelName, work_s: float, recorded_s: float, now_s: float
    ) -> None:
        """Take back work that was recorded at ``recorded_s``, as it was not a first try."""
        self._sums[model].withdraw(work_s, recorded_s, now_s)
        if self._in_start(recorded_s):
            self._start_sums[model].withdraw(work_s, recorded_s, now_s)

    def offered(self, now_s: float) -> Mapping[ModelName, float]:
        """Return the current rate of offered work for each model."""
        if self._first_recorded_s is None:
            return {}
        since_s = self._first_recorded_s
        sums = {model: each.at(now_s) for model, each in self._sums.items()}
        if self._started_s is not None and now_s - self._started_s >= START_COUNTS_FOR_S:
            since_s = max(since_s, self._started_s + START_S)
            for model, each in self._start_sums.items():
                sums[model] = max(0.0, sums[model] - each.at(now_s))
        effective_s = effective_time_s(now_s - since_s)
        return {model: each / effective_s for model, each in sums.items()}

    def _in_start(self, at_s: float) -> bool:
        return self._started_s is not None and at_s < self._started_s + START_S


__all__ = ["DECAY_S", "START_S", "DemandMeter"]
