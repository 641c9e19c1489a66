# SPDX-License-Identifier: Apache-2.0
"""Utility of one more engine in a domain that can serve a model."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.coordinator.worth import marginal_utility
from ochreway_direct.ids import ModelName

LOAD_HORIZON_S = 30.0
"""Time over which a load is valued, about two loads of a large model."""
SERVING_SUBSTITUTE_SHARE = 0.5
"""Weight of a serving engine as a substitute, compared with a free one."""


@dataclass(slots=True)
class Inventory:
    """Groups of a model in a domain, and engines that could join one.

    ``missing`` groups are planned and lack weights, ``current`` ones do not. ``free`` engines could
    join at once. ``surplus`` engines could join after their group, which exceeds the plan, is
    closed. ``serving`` engines could too, but serve another model that is wanted.
    """

    missing: int = 0
    current: int = 0
    free: int = 0
    surplus: int = 0
    serving: int = 0


@dataclass(slots=True)
class LoadUtility:
    """Utility of loads: the work that they allow to be served, in groups kept busy times seconds.

    A load completes a planned group sooner, and provides a substitute. Without a substitute, the
    next loss of a member stops its group for the time of a load.
    """

    spec: EngineSpec
    scenarios: Sequence[Mapping[ModelName, float]]
    totals: Mapping[ModelName, int]
    losses_per_engine_s: float
    downtime_share: float
    inventories: dict[GroupSlot, Inventory] = field(default_factory=dict)

    def inventory(self, slot: GroupSlot) -> Inventory:
        """Return the inventory of a group slot."""
        return self.inventories.setdefault(slot, Inventory())

    def of_engine(self, slot: GroupSlot, is_free: bool, completes: bool) -> float:
        """Return the utility of one more engine that can serve a model.

        Args:
            slot: the engine's domain, and the model that it would be able to serve.
            is_free: whether it serves nothing now.
            completes: whether it could become a member of a planned group.
        """
        inventory = self.inventory(slot)
        substitute = self._substitute(slot.model, inventory) * (
            1.0 if is_free else SERVING_SUBSTITUTE_SHARE
        )
        return substitute + (self._completion(slot.model, inventory) if completes else 0.0)

    def of_last_free(self, slot: GroupSlot) -> float:
        """Return the utility of the last of the free engines that can join."""
        inventory = self.inventory(slot)
        if inventory.free <= 0:
            return 0.0
        inventory.free -= 1
        utility = self.of_engine(slot, is_free=True, completes=True)
        inventory.free += 1
        return utility

    def yields_to(self, served: ModelName, other: ModelName) -> bool:
        """Return whether a group of one model would be closed to replace a lost one of another."""
        return self._last_group_utility(other) > self._last_group_utility(served)

    def _last_group_utility(self, name: ModelName) -> float:
        """Return the utility of the last group of a model, per engine."""
        return self._mean_utility(name, self.totals[name] - 1) / self._model(name).size

    def _completion(self, name: ModelName, inventory: Inventory) -> float:
        size = self._model(name).size
        joinable = inventory.free + inventory.surplus
        complete = min(inventory.missing, joinable // size)
        if complete >= inventory.missing:
            return 0.0
        return (
            self._mean_utility(name, self.totals[name] + complete)
            * LOAD_HORIZON_S
            / (size - joinable % size)
        )

    def _substitute(self, name: ModelName, inventory: Inventory) -> float:
        model = self._model(name)
        substitutes = inventory.free + SERVING_SUBSTITUTE_SHARE * (
            inventory.surplus + inventory.serving
        )
        losses = self.losses_per_engine_s * LOAD_HORIZON_S * model.size * inventory.current
        use_probability = min(1.0, losses / (1.0 + substitutes)) / (1.0 + substitutes)
        return use_probability * model.load_s * self._mean_utility(name, self.totals[name] - 1)

    def _model(self, name: ModelName) -> ModelSpec:
        model = self.spec.model(name)
        assert model is not None
        return model

    def _mean_utility(self, name: ModelName, groups: int) -> float:
        """Return the utility of one more group, averaged over the demand scenarios."""
        model, groups = self._model(name), max(0, groups)
        utilities = [
            marginal_utility(self.spec, model, s[name], groups, self.downtime_share)
            for s in self.scenarios
        ]
        return sum(utilities) / len(utilities)


__all__ = ["LoadUtility", "Inventory"]
