# SPDX-License-Identifier: Apache-2.0
"""Rate of work offered to this entry for each model."""

import math
from collections import defaultdict
from collections.abc import Mapping

from ochreway_direct.demand.decayingsum import DECAY_S, DecayingSum
from ochreway_direct.ids import ModelName

MIN_MEASURED_S = 0.5
"""Minimum time over which a rate is computed, as a single first request gives none."""


class DemandMeter:
    """Hold an exponentially decaying rate of offered work for each model, in fully busy groups.

    A decaying sum that has just begun underestimates the rate: by four fifths after one second. It
    is divided by the effective time that it covers, so that the first second of requests already
    shows how much work is offered, and for which model.
    """

    def __init__(self) -> None:
        self._sums: defaultdict[ModelName, DecayingSum] = defaultdict(DecayingSum)
        self._first_recorded_s: float | None = None

    def record_work(self, model: ModelName, work_s: float, now_s: float) -> None:
        """Add the work of an arriving request, in seconds of a group."""
        if self._first_recorded_s is None:
            self._first_recorded_s = now_s
        self._sums[model].add(work_s, now_s)

    def withdraw_work(
        self, model: ModelName, work_s: float, recorded_s: float, now_s: float
    ) -> None:
        """Take back work that was recorded at ``recorded_s``, as it was not a first try."""
        self._sums[model].withdraw(work_s, recorded_s, now_s)

    def offered(self, now_s: float) -> Mapping[ModelName, float]:
        """Return the current rate of offered work for each model."""
        if self._first_recorded_s is None:
            return {}
        measured_s = max(MIN_MEASURED_S, now_s - self._first_recorded_s)
        effective_s = DECAY_S * (1.0 - math.exp(-measured_s / DECAY_S))
        return {model: each.at(now_s) / effective_s for model, each in self._sums.items()}


__all__ = ["MIN_MEASURED_S", "DECAY_S", "DemandMeter"]
