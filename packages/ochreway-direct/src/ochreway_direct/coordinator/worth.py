# SPDX-License-Identifier: Apache-2.0
"""What one more group of a model is worth."""

import math
from functools import lru_cache
from statistics import NormalDist

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.demand import CAPACITY_SHARE, TYPICAL_SEQUENCES

MAX_DOWNTIME_SHARE = 0.5
MAX_EXACT_GROUPS = 60
"""Up to how many groups a chance is computed exactly."""


def groups_needed(spec: EngineSpec, demand: float) -> float:
    """Return how many groups carry so much work without requests having to wait."""
    return demand * TYPICAL_SEQUENCES / (CAPACITY_SHARE * spec.slots)


def marginal_utility(
    spec: EngineSpec, model: ModelSpec, demand: float, groups: int, downtime_share: float
) -> float:
    """Return what one more group adds to the work that is served, in groups kept busy.

    Each group is down for a part of the time, as any of its engines may be lost, so what is
    served is an expectation: the first groups of a model carry its work, a few more stand in for
    those that are down, and any further one adds next to nothing.

    Args:
        spec: the figures of the engines.
        model: the model of the group.
        need: the work that is offered for it, in groups kept busy.
        groups: how many groups there are.
        down: the share of the time for which one engine's loss takes its group down.
    """
    up = 1.0 - min(MAX_DOWNTIME_SHARE, model.size * downtime_share)
    required = groups_needed(spec, demand)
    required_floor = math.floor(required)
    chance_of_use = _chance_at_most(required_floor - 1, groups, up) + (
        required - required_floor
    ) * (
        _chance_at_most(required_floor, groups, up)
        - _chance_at_most(required_floor - 1, groups, up)
    )
    return up * chance_of_use * demand / required


@lru_cache(maxsize=4096)
def _chance_at_most(number: int, groups: int, up: float) -> float:
    """Return the chance that at most a number of groups are up."""
    if number < 0:
        return 0.0
    if number >= groups:
        return 1.0
    if groups > MAX_EXACT_GROUPS:
        deviation = math.sqrt(groups * up * (1.0 - up))
        return NormalDist(groups * up, deviation).cdf(number + 0.5)
    chances = (math.comb(groups, k) * up**k * (1.0 - up) ** (groups - k) for k in range(number + 1))
    return sum(chances)


__all__ = ["marginal_utility", "groups_needed"]
