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
    PREEMPT = "take"


@dataclass(frozen=True, slots=True)
class Damage:
    """Describe a broken group and what could mend it."""

    replacements_needed: int
    healthy: int
    silent_for_s: float
    known_dead: bool
    spares: int
    spares_warm: bool
    joinable: int
    preemptable: int
    priority_ratio: float
    weights: Weights


@dataclass(frozen=True, slots=True)
class RepairTuning:
    """Hold what is expected of pauses, replacements and loading."""

    pause_probability: float = 0.6
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

    def register(policy_class: R) -> R:
        REPAIR_POLICIES[name] = policy_class
        return policy_class

    return register


@repair_policy("expected_cost")
class ExpectedCost(RepairPolicy):
    """Take the repair of least expected downtime and stranded instances, as weighted."""

    def choose(self, damage: Damage) -> Repair:
        """Return the possible repair of least cost."""
        costs = {Repair.WAIT: self._wait_cost(damage)}
        if damage.spares >= damage.replacements_needed:
            repair_s = self.tuning.rewire_s if damage.spares_warm else self.tuning.load_s
            costs[Repair.SPARE] = self._outage_cost(damage, repair_s)
        if damage.joinable >= damage.replacements_needed:
            costs[Repair.JOIN] = self._outage_cost(damage, self.tuning.load_s)
        if damage.preemptable >= damage.replacements_needed:
            costs[Repair.PREEMPT] = self._preempt_cost(damage)
        return min(costs, key=lambda repair: costs[repair])

    def _outage_cost(self, damage: Damage, outage_s: float) -> float:
        weights = damage.weights
        return outage_s * (weights.downtime + weights.stranded * damage.healthy)

    def _wait_cost(self, damage: Damage) -> float:
        return self._outage_cost(damage, self.expected_return_s(damage))

    def _preempt_cost(self, damage: Damage) -> float:
        own_cost = self._outage_cost(damage, self.tuning.load_s)
        victim_cost = damage.priority_ratio * damage.weights.downtime * self.tuning.replace_s
        return own_cost + victim_cost

    def expected_return_s(self, damage: Damage) -> float:
        """Return how long the lost members are expected to stay away from now on.

        A short absence is probably a pause; the longer it lasts, the surer a death.
        """
        tuning = self.tuning
        if damage.known_dead:
            return tuning.replace_s
        pause_weight = tuning.pause_probability * math.exp(
            -damage.silent_for_s / tuning.pause_mean_s
        )
        posterior = pause_weight / (pause_weight + 1.0 - tuning.pause_probability)
        return posterior * tuning.pause_mean_s + (1.0 - posterior) * tuning.replace_s


@repair_policy("wait_then_spare")
class WaitThenSpare(RepairPolicy):
    """Wait a fixed while, then take any spare: the plain baseline."""

    def choose(self, damage: Damage) -> Repair:
        """Return a spare once the wait is over and there are enough."""
        waited = damage.silent_for_s >= self.tuning.baseline_wait_s
        enough = damage.spares >= damage.replacements_needed
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
