# SPDX-License-Identifier: Apache-2.0
"""Marginal utility of one more group of a model."""

import math
from functools import lru_cache
from statistics import NormalDist

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.demand import CAPACITY_SHARE, TYPICAL_SEQUENCES

MAX_DOWNTIME_SHARE = 0.5
MAX_EXACT_GROUPS = 60
"""Maximum number of groups for which a probability is computed exactly."""


def groups_needed(spec: EngineSpec, demand: float) -> float:
    """Return how many groups carry the demand without requests having to wait."""
    return demand * TYPICAL_SEQUENCES / (CAPACITY_SHARE * spec.slots)


def marginal_utility(
    spec: EngineSpec, model: ModelSpec, demand: float, groups: int, downtime_share: float
) -> float:
    """Return the work that one more group allows to be served, in groups kept busy.

    Each group is down for a share of the time, as any of its engines may be lost, so the served
    work is an expectation: the first groups of a model carry its demand, a few more substitute for
    those that are down, and any further group adds next to nothing.

    Args:
        spec: the engine specification.
        model: the model of the group.
        demand: the work offered for the model, in groups kept busy.
        groups: the number of existing groups.
        downtime_share: the share of time for which the loss of one engine stops its group.
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
    """Return the probability that at most ``number`` groups are up."""
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
