# SPDX-License-Identifier: Apache-2.0
"""How much work arrives for each model at this entry."""

import math
from collections.abc import Mapping

from ochreway_direct.ids import ModelName

DECAY_S = 5.0
"""How fast a request is forgotten: half a wave of the load, and some hundred requests, long."""
MIN_MEASURED_S = 0.5
"""The shortest time that a rate is taken over: a first request alone tells nothing of a rate."""


class DemandMeter:
    """Hold a decaying rate of arriving work for each model, in groups kept busy.

    A decaying sum that has just begun falls short of the rate: by four fifths after one second. It
    is divided by the share of its memory that has passed, so that the first second of requests
    already tells how much is asked for, and of which model.
    """

    def __init__(self) -> None:
        self._sums: dict[ModelName, float] = {}
        self._last_recorded_s: dict[ModelName, float] = {}
        self._first_recorded_s: float | None = None

    def record_work(self, model: ModelName, work_s: float, now_s: float) -> None:
        """Take the work of one arriving request."""
        if self._first_recorded_s is None:
            self._first_recorded_s = now_s
        self._sums[model] = self._decayed_sum(model, now_s) + work_s
        self._last_recorded_s[model] = now_s

    def offered(self, now_s: float) -> Mapping[ModelName, float]:
        """Return the work that arrives for each model now."""
        if self._first_recorded_s is None:
            return {}
        measured_s = max(MIN_MEASURED_S, now_s - self._first_recorded_s)
        effective_s = DECAY_S * (1.0 - math.exp(-measured_s / DECAY_S))
        return {model: self._decayed_sum(model, now_s) / effective_s for model in self._sums}

    def _decayed_sum(self, model: ModelName, now_s: float) -> float:
        elapsed_s = now_s - self._last_recorded_s.get(model, now_s)
        return self._sums.get(model, 0.0) * math.exp(-elapsed_s / DECAY_S)


__all__ = ["MIN_MEASURED_S", "DECAY_S", "DemandMeter"]
