# SPDX-License-Identifier: Apache-2.0
"""How much work arrives for each model at this entry."""

import math
from collections.abc import Mapping

from ochreway_direct.ids import ModelName

MEMORY_S = 5.0


class DemandMeter:
    """Hold a decaying rate of arriving work for each model, in groups kept busy."""

    def __init__(self) -> None:
        self._rates: dict[ModelName, float] = {}
        self._noted_s: dict[ModelName, float] = {}

    def note(self, model: ModelName, work_s: float, now_s: float) -> None:
        """Take the work of one arriving request."""
        self._rates[model] = self._rate(model, now_s) + work_s / MEMORY_S
        self._noted_s[model] = now_s

    def offered(self, now_s: float) -> Mapping[ModelName, float]:
        """Return the work that arrives for each model now."""
        return {model: self._rate(model, now_s) for model in self._rates}

    def _rate(self, model: ModelName, now_s: float) -> float:
        elapsed_s = now_s - self._noted_s.get(model, now_s)
        return self._rates.get(model, 0.0) * math.exp(-elapsed_s / MEMORY_S)


__all__ = ["DemandMeter"]
