# SPDX-License-Identifier: Apache-2.0
"""Policies that choose how to repair a group that has lost members."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from ochreway_core.bundle import Weights


class Repair(Enum):
    """Ways to repair a group.

    JOIN takes members from another broken group, PREEMPT from a group of lower priority.
    """

    WAIT = "wait"
    SPARE = "spare"
    JOIN = "join"
    PREEMPT = "take"


@dataclass(frozen=True, slots=True)
class Damage:
    """A broken group and the instances that could repair it.

    ``spares`` counts the free instances; ``joinable`` and ``preemptable`` count them together with
    the usable members of the group that JOIN or PREEMPT would take from. ``spares_warm`` tells
    whether the spares that would be used have loaded the weights. ``silent_for_s`` is the longest
    silence of a lost member, and ``known_dead`` tells whether a lost member is not listed any more.
    ``priority_ratio`` is the weight of the preempted group's downtime against this group's.
    """

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
    """Expected durations and probabilities that repairs are compared by.

    ``pause_probability`` is the share of silences that are pauses, which last ``pause_mean_s`` on
    average; the others last until the platform replaces the instance, after ``replace_s``.
    ``rewire_s`` is the outage when warm spares are used, ``load_s`` when weights are loaded, and
    ``baseline_wait_s`` the wait of ``WaitThenSpare``.
    """

    pause_probability: float = 0.6
    pause_mean_s: float = 4.0
    replace_s: float = 180.0
    load_s: float = 30.0
    rewire_s: float = 3.0
    baseline_wait_s: float = 60.0


R = TypeVar("R", bound="type[RepairPolicy]")

REPAIR_POLICIES: dict[str, type["RepairPolicy"]] = {}


class RepairPolicy(ABC):
    """Base class of repair policies."""

    def __init__(self, tuning: RepairTuning) -> None:
        self.tuning = tuning

    @abstractmethod
    def choose(self, damage: Damage) -> Repair:
        """Return the repair to make now."""


def repair_policy(name: str) -> Callable[[R], R]:
    """Register the decorated repair policy under a name."""

    def register(policy_class: R) -> R:
        REPAIR_POLICIES[name] = policy_class
        return policy_class

    return register


@repair_policy("expected_cost")
class ExpectedCost(RepairPolicy):
    """Choose the repair with the least weighted cost of downtime and stranded instances."""

    def choose(self, damage: Damage) -> Repair:
        """Return the feasible repair of least expected cost."""
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
        """Return the expected time until the lost members are back or replaced.

        A short silence is probably a pause; the longer it lasts, the more likely the instance is
        dead.
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
    """Wait a fixed time, then use any spare: the baseline to compare other policies with."""

    def choose(self, damage: Damage) -> Repair:
        """Return SPARE once the wait is over and there are enough spares."""
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
