# SPDX-License-Identifier: Apache-2.0
"""What to do about a group that has lost members, by expected cost."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from ochreway_core.bundle import Weights


class Repair(Enum):
    """Name the ways to repair a group."""

    WAIT = "wait"
    SPARE = "spare"
    JOIN = "join"
    TAKE = "take"


@dataclass(frozen=True, slots=True)
class Damage:
    """Describe a broken group and what could mend it."""

    lost: int
    healthy: int
    lost_for_s: float
    known_dead: bool
    spares: int
    warm: bool
    joinable: int
    takeable: int
    priority_ratio: float
    weights: Weights


@dataclass(frozen=True, slots=True)
class RepairTuning:
    """Hold what is expected of pauses, replacements and loading."""

    pause_share: float = 0.6
    pause_mean_s: float = 4.0
    replace_s: float = 180.0
    load_s: float = 30.0
    rewire_s: float = 3.0
    baseline_wait_s: float = 60.0


R = TypeVar("R", bound="type[RepairPolicy]")

REPAIR_POLICIES: dict[str, type["RepairPolicy"]] = {}


class RepairPolicy(ABC):
    """Choose a repair."""

    def __init__(self, tuning: RepairTuning) -> None:
        self.tuning = tuning

    @abstractmethod
    def choose(self, damage: Damage) -> Repair:
        """Return what to do now."""


def repair_policy(name: str) -> Callable[[R], R]:
    """Register a repair policy under a name."""

    def register(kind: R) -> R:
        REPAIR_POLICIES[name] = kind
        return kind

    return register


@repair_policy("expected_cost")
class ExpectedCost(RepairPolicy):
    """Take the repair of least expected downtime and stranded instances, as weighted."""

    def choose(self, damage: Damage) -> Repair:
        """Return the possible repair of least cost."""
        costs = {Repair.WAIT: self._wait_cost(damage)}
        if damage.spares >= damage.lost:
            mend_s = self.tuning.rewire_s if damage.warm else self.tuning.load_s
            costs[Repair.SPARE] = self._outage_cost(damage, mend_s)
        if damage.joinable >= damage.lost:
            costs[Repair.JOIN] = self._outage_cost(damage, self.tuning.load_s)
        if damage.takeable >= damage.lost:
            costs[Repair.TAKE] = self._take_cost(damage)
        return min(costs, key=lambda repair: costs[repair])

    def _outage_cost(self, damage: Damage, outage_s: float) -> float:
        weights = damage.weights
        return outage_s * (weights.downtime + weights.stranded * damage.healthy)

    def _wait_cost(self, damage: Damage) -> float:
        return self._outage_cost(damage, self.expected_return_s(damage))

    def _take_cost(self, damage: Damage) -> float:
        moved_s = self._outage_cost(damage, self.tuning.load_s)
        other_s = damage.priority_ratio * damage.weights.downtime * self.tuning.replace_s
        return moved_s + other_s

    def expected_return_s(self, damage: Damage) -> float:
        """Return how long the lost members are expected to stay away from now on.

        A short absence is probably a pause; the longer it lasts, the surer a death.
        """
        tuning = self.tuning
        if damage.known_dead:
            return tuning.replace_s
        paused = tuning.pause_share * math.exp(-damage.lost_for_s / tuning.pause_mean_s)
        share = paused / (paused + 1.0 - tuning.pause_share)
        return share * tuning.pause_mean_s + (1.0 - share) * tuning.replace_s


@repair_policy("wait_then_spare")
class WaitThenSpare(RepairPolicy):
    """Wait a fixed while, then take any spare: the plain baseline."""

    def choose(self, damage: Damage) -> Repair:
        """Return a spare once the wait is over and there are enough."""
        waited = damage.lost_for_s >= self.tuning.baseline_wait_s
        enough = damage.spares >= damage.lost
        return Repair.SPARE if waited and enough else Repair.WAIT


__all__ = [
    "REPAIR_POLICIES",
    "Damage",
    "ExpectedCost",
    "Repair",
    "RepairPolicy",
    "RepairTuning",
    "WaitThenSpare",
    "repair_policy",
]
