# SPDX-License-Identifier: Apache-2.0
"""Cached plan, made again only when its inputs change."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.coordinator.groupplan import GroupPlan
from ochreway_direct.coordinator.layout import make_plan
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.ids import ModelName

DEMAND_STEP = 0.1
"""Change of a model's demand, in groups kept busy, that triggers a new plan."""
DEMAND_STEP_SHARE = 0.05
"""The same as a share of the demand, if that is more; large sites would plan all the time."""


@dataclass(frozen=True, slots=True)
class _Inputs:
    spec: EngineSpec
    scenarios: tuple[Mapping[ModelName, float], ...]
    capacities: Mapping[DomainId, Capacity]
    current: Mapping[GroupSlot, int]
    downtime_share: float
    min_utility: float
    with_callers: frozenset[ModelName]


class Planner:
    """Last plan and its inputs."""

    def __init__(self, tuning: CoordinatorTuning) -> None:
        self._tuning = tuning
        self._inputs: _Inputs | None = None
        self._plan = GroupPlan()

    def plan(
        self,
        spec: EngineSpec,
        scenarios: Sequence[Mapping[ModelName, float]],
        capacities: Mapping[DomainId, Capacity],
        current: Mapping[GroupSlot, int],
        downtime_share: float,
        min_utility: float,
        with_callers: frozenset[ModelName],
    ) -> GroupPlan:
        """Return the planned groups; ``with_callers`` are the models that have callers."""
        rounded = tuple(
            self._rounded_scenario(n, model_demand) for n, model_demand in enumerate(scenarios)
        )
        inputs = _Inputs(
            spec, rounded, capacities, current, downtime_share, min_utility, with_callers
        )
        if inputs != self._inputs:
            self._inputs = inputs
            self._plan = make_plan(
                spec,
                rounded,
                capacities,
                current,
                downtime_share,
                self._tuning,
                min_utility,
                with_callers,
            )
        return self._plan

    def _rounded_scenario(
        self, number: int, model_demand: Mapping[ModelName, float]
    ) -> dict[ModelName, float]:
        """Return a scenario with rounded demands, or the planned ones where they differ little."""
        before = self._inputs.scenarios if self._inputs is not None else ()
        known = before[number] if number < len(before) else {}
        return {
            model: _rounded_demand(demand, known.get(model, 0.0))
            for model, demand in model_demand.items()
        }


def _rounded_demand(demand: float, planned: float) -> float:
    """Return a demand in whole steps, or the planned one while it differs little."""
    if planned and abs(demand - planned) <= max(DEMAND_STEP / 2, DEMAND_STEP_SHARE * demand):
        return planned
    return max(DEMAND_STEP, round(demand / DEMAND_STEP) * DEMAND_STEP)


__all__ = ["Planner"]
