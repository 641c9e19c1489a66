# SPDX-License-Identifier: Apache-2.0
"""Marginal utility of one more group of a model."""

import math
from functools import lru_cache
from statistics import NormalDist

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.demand import CAPACITY_SHARE, TYPICAL_SEQUENCES

MAX_DOWNTIME_SHARE = 0.5
FAIRNESS_FLOOR = 0.1
"""Share that is added to each served share, as the logarithm of 0 is not finite."""
MAX_EXACT_GROUPS = 60
"""Maximum number of groups for which a probability is computed exactly."""


def groups_needed(spec: EngineSpec, demand: float) -> float:
    """Return how many groups carry the demand without requests having to wait."""
    return demand * TYPICAL_SEQUENCES / (CAPACITY_SHARE * spec.slots)


def marginal_utility(
    spec: EngineSpec, model: ModelSpec, demand: float, groups: int, downtime_share: float
) -> float:
    """Return the utility of one more group, in groups kept busy.

    It is proportionally fair: the utility of a model is the logarithm of the share of its work that
    can be served, weighted by that work. One more group counts as the work that it adds where most
    of the model's work is served, and up to ten times that where next to none is. Otherwise small
    groups, which serve as much with fewer engines, would get spares before large ones serve at all.

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
    shares = _served_shares(groups_needed(spec, demand), up)
    before, after = shares.of(groups), shares.of(groups + 1)
    gain = math.log((after + FAIRNESS_FLOOR) / (before + FAIRNESS_FLOOR))
    return demand * (1.0 + FAIRNESS_FLOOR) * gain


class _ServedShares:
    """Expected share of a model's work that a number of its groups serve.

    Args:
        required: the groups that carry the work, which need not be a whole number.
        up: the probability that a group is up.
    """

    def __init__(self, required: float, up: float) -> None:
        self._required = required
        self._up = up
        self._shares = [0.0]

    def of(self, groups: int) -> float:
        """Return the share for a number of groups."""
        while len(self._shares) <= groups:
            added = self._up * self._chance_of_use(len(self._shares) - 1) / self._required
            self._shares.append(self._shares[-1] + added)
        return self._shares[groups]

    def _chance_of_use(self, groups: int) -> float:
        """Return the probability that one group more than a number of groups has work."""
        whole = math.floor(self._required)
        below = _chance_at_most(whole - 1, groups, self._up)
        exactly = _chance_at_most(whole, groups, self._up) - below
        return below + (self._required - whole) * exactly


@lru_cache(maxsize=256)
def _served_shares(required: float, up: float) -> _ServedShares:
    return _ServedShares(required, up)


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


__all__ = ["FAIRNESS_FLOOR", "groups_needed", "marginal_utility"]
