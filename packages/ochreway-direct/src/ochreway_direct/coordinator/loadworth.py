# SPDX-License-Identifier: Apache-2.0
"""What it is worth to have one more engine of a domain that can serve a model."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.placement import Slot
from ochreway_direct.coordinator.worth import gain
from ochreway_direct.ids import ModelName

HORIZON_S = 30.0
"""How far ahead a load is valued: two loads of a large model."""
BESIDE_SHARE = 0.5
"""What an engine that serves counts as a substitute against one that is free."""


@dataclass(slots=True)
class Stock:
    """Count what a domain has for a model.

    ``missing`` groups are planned and lack weights, ``standing`` ones do not. ``free`` engines
    could join one at once; ``surplus`` ones could once their group, which is one too many, is
    given up; ``beside`` ones could too, but serve another model that is wanted.
    """

    missing: int = 0
    standing: int = 0
    free: int = 0
    surplus: int = 0
    beside: int = 0


@dataclass(slots=True)
class LoadWorth:
    """Value loads by the work that they let be served, in groups kept busy times seconds.

    A load brings a planned group nearer, and provides a substitute, without which the next loss of
    a member stops its group for as long as a load takes.
    """

    spec: EngineSpec
    scenarios: Sequence[Mapping[ModelName, float]]
    totals: Mapping[ModelName, int]
    losses_per_engine_s: float
    down: float
    stocks: dict[Slot, Stock] = field(default_factory=dict)

    def stock(self, slot: Slot) -> Stock:
        """Return what a place has."""
        return self.stocks.setdefault(slot, Stock())

    def of(self, slot: Slot, is_free: bool, completes: bool) -> float:
        """Return the worth of one more able engine.

        Args:
            slot: its domain, and the model that it would be able to serve.
            is_free: whether it serves nothing now.
            completes: whether it could become a member of a group that is planned.
        """
        stock = self.stock(slot)
        substitute = self._substitute(slot.model, stock) * (1.0 if is_free else BESIDE_SHARE)
        return substitute + (self._completion(slot.model, stock) if completes else 0.0)

    def of_last(self, slot: Slot) -> float:
        """Return the worth of one of the free engines that there are."""
        stock = self.stock(slot)
        if stock.free <= 0:
            return 0.0
        stock.free -= 1
        worth = self.of(slot, is_free=True, completes=True)
        stock.free += 1
        return worth

    def breaks_for(self, served: ModelName, other: ModelName) -> bool:
        """Tell whether a group of one model would be given up to replace a lost one of another."""
        return self._last_per_engine(other) > self._last_per_engine(served)

    def _last_per_engine(self, name: ModelName) -> float:
        """Return what the last group of a model adds, for each of its engines."""
        return self._gain(name, self.totals[name] - 1) / self._model(name).size

    def _completion(self, name: ModelName, stock: Stock) -> float:
        size = self._model(name).size
        able = stock.free + stock.surplus
        complete = min(stock.missing, able // size)
        if complete >= stock.missing:
            return 0.0
        return self._gain(name, self.totals[name] + complete) * HORIZON_S / (size - able % size)

    def _substitute(self, name: ModelName, stock: Stock) -> float:
        model = self._model(name)
        substitutes = stock.free + BESIDE_SHARE * (stock.surplus + stock.beside)
        losses = self.losses_per_engine_s * HORIZON_S * model.size * stock.standing
        used = min(1.0, losses / (1.0 + substitutes)) / (1.0 + substitutes)
        return used * model.load_s * self._gain(name, self.totals[name] - 1)

    def _model(self, name: ModelName) -> ModelSpec:
        model = self.spec.model(name)
        assert model is not None
        return model

    def _gain(self, name: ModelName, groups: int) -> float:
        """Return what one more group adds, on average over what may be asked for."""
        model, groups = self._model(name), max(0, groups)
        added = [gain(self.spec, model, s[name], groups, self.down) for s in self.scenarios]
        return sum(added) / len(added)


__all__ = ["LoadWorth", "Stock"]
