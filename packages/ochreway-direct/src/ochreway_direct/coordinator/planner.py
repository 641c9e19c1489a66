# SPDX-License-Identifier: Apache-2.0
"""Planning again only when something has changed that a plan depends on."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.coordinator.layout import plan
from ochreway_direct.coordinator.placement import Slot
from ochreway_direct.coordinator.room import Room
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.ids import ModelName

NEED_STEP = 0.1
"""By how many groups' work the need of a model has to change before a plan is made anew."""
NEED_STEP_SHARE = 0.05
"""The same as a share of the need, where that is more: large sites would plan all the time."""


@dataclass(frozen=True, slots=True)
class _Inputs:
    spec: EngineSpec
    scenarios: tuple[Mapping[ModelName, float], ...]
    rooms: Mapping[DomainId, Room]
    standing: Mapping[Slot, int]
    down: float
    least_gain: float


class Planner:
    """Hold the last plan and what it was made from."""

    def __init__(self, tuning: CoordinatorTuning) -> None:
        self._tuning = tuning
        self._inputs: _Inputs | None = None
        self._plan: Counter[Slot] = Counter()

    def plan(
        self,
        spec: EngineSpec,
        scenarios: Sequence[Mapping[ModelName, float]],
        rooms: Mapping[DomainId, Room],
        standing: Mapping[Slot, int],
        down: float,
        least_gain: float,
    ) -> Counter[Slot]:
        """Return the number of groups for each place."""
        rounded = tuple(self._rounded(n, needs) for n, needs in enumerate(scenarios))
        inputs = _Inputs(spec, rounded, rooms, standing, down, least_gain)
        if inputs != self._inputs:
            self._inputs = inputs
            self._plan = plan(spec, rounded, rooms, standing, down, self._tuning, least_gain)
        return self._plan

    def _rounded(self, number: int, needs: Mapping[ModelName, float]) -> dict[ModelName, float]:
        """Return a scenario's needs in whole steps, or those planned for that differ little."""
        before = self._inputs.scenarios if self._inputs is not None else ()
        known = before[number] if number < len(before) else {}
        return {model: _step(need, known.get(model, 0.0)) for model, need in needs.items()}


def _step(need: float, planned: float) -> float:
    """Return a need in whole steps, or the one planned for while it differs little."""
    if planned and abs(need - planned) <= max(NEED_STEP / 2, NEED_STEP_SHARE * need):
        return planned
    return max(NEED_STEP, round(need / NEED_STEP) * NEED_STEP)


__all__ = ["Planner"]
