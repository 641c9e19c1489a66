# SPDX-License-Identifier: Apache-2.0
"""What it is worth to have one more engine of a domain that can serve a model."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.coordinator.worth import marginal_utility
from ochreway_direct.ids import ModelName

LOAD_HORIZON_S = 30.0
"""How far ahead a load is valued: two loads of a large model."""
SERVING_SUBSTITUTE_SHARE = 0.5
"""What an engine that serves counts as a substitute against one that is free."""


@dataclass(slots=True)
class Inventory:
    """Count what a domain has for a model.

    ``missing`` groups are planned and lack weights, ``standing`` ones do not. ``free`` engines
    could join one at once; ``surplus`` ones could once their group, which is one too many, is
    given up; ``beside`` ones could too, but serve another model that is wanted.
    """

    missing: int = 0
    current: int = 0
    free: int = 0
    surplus: int = 0
    serving: int = 0


@dataclass(slots=True)
class LoadUtility:
    """Value loads by the work that they let be served, in groups kept busy times seconds.

    A load brings a planned group nearer, and provides a substitute, without which the next loss of
    a member stops its group for as long as a load takes.
    """

    spec: EngineSpec
    scenarios: Sequence[Mapping[ModelName, float]]
    totals: Mapping[ModelName, int]
    losses_per_engine_s: float
    downtime_share: float
    inventories: dict[GroupSlot, Inventory] = field(default_factory=dict)

    def inventory(self, slot: GroupSlot) -> Inventory:
        """Return what a place has."""
        return self.inventories.setdefault(slot, Inventory())

    def of_engine(self, slot: GroupSlot, is_free: bool, completes: bool) -> float:
        """Return the worth of one more able engine.

        Args:
            slot: its domain, and the model that it would be able to serve.
            is_free: whether it serves nothing now.
            completes: whether it could become a member of a group that is planned.
        """
        inventory = self.inventory(slot)
        substitute = self._substitute(slot.model, inventory) * (
            1.0 if is_free else SERVING_SUBSTITUTE_SHARE
        )
        return substitute + (self._completion(slot.model, inventory) if completes else 0.0)

    def of_last_free(self, slot: GroupSlot) -> float:
        """Return the worth of one of the free engines that there are."""
        inventory = self.inventory(slot)
        if inventory.free <= 0:
            return 0.0
        inventory.free -= 1
        utility = self.of_engine(slot, is_free=True, completes=True)
        inventory.free += 1
        return utility

    def yields_to(self, served: ModelName, other: ModelName) -> bool:
        """Tell whether a group of one model would be given up to replace a lost one of another."""
        return self._last_group_utility(other) > self._last_group_utility(served)

    def _last_group_utility(self, name: ModelName) -> float:
        """Return what the last group of a model adds, for each of its engines."""
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
        """Return what one more group adds, on average over what may be asked for."""
        model, groups = self._model(name), max(0, groups)
        utilities = [
            marginal_utility(self.spec, model, s[name], groups, self.downtime_share)
            for s in self.scenarios
        ]
        return sum(utilities) / len(utilities)


__all__ = ["LoadUtility", "Inventory"]
