# SPDX-License-Identifier: Apache-2.0
"""Weights for one more group of each model with callers, among engines outside groups."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.loadworth import LOAD_HORIZON_S, Inventory
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.ids import ModelName

DOMAINS_WANTED = 2
"""Number of domains that should have the weights, so that one can be lost."""


@dataclass(frozen=True, slots=True)
class WaysBack:
    """Group slots where engines outside groups should have the weights of one more group."""

    slots: Mapping[GroupSlot, ModelSpec] = field(default_factory=dict)

    def lacks_copy(self, slot: GroupSlot, inventory: Inventory) -> bool:
        """Return whether a group slot is chosen and has too few free engines with the weights."""
        model = self.slots.get(slot)
        return model is not None and inventory.free < model.size

    def needs_copy(self, slot: GroupSlot, inventory: Inventory) -> bool:
        """Return whether a group slot is chosen and has no copy to spare."""
        model = self.slots.get(slot)
        return model is not None and inventory.free <= model.size


def choose_ways_back(
    spec: EngineSpec,
    called: frozenset[ModelName],
    free: Sequence[EngineRecord],
    loading: int,
) -> WaysBack:
    """Return the slots where the weights of one more group of each called model are wanted.

    Domains with enough engines outside groups count, those with the most copies first. An engine
    counts for one model, as its host keeps one copy; models with larger groups choose first. A
    model whose load would not end within ``LOAD_HORIZON_S`` is left out.

    Args:
        spec: the models.
        called: the models that have callers.
        free: the engines outside groups.
        loading: the number of loads under way.
    """
    engines = Counter(record.domain for record in free)
    slowdown = max(1.0, (loading + 1) / max(1, spec.loads_at_once))
    slots = {}
    for model in sorted(spec.models, key=lambda each: -each.size):
        if model.name not in called or model.load_s * slowdown > LOAD_HORIZON_S:
            continue
        for domain in _best_domains(model, engines, free):
            slots[GroupSlot(domain, model.name)] = model
            engines[domain] -= model.size
    return WaysBack(slots)


def _best_domains(
    model: ModelSpec, engines: Mapping[DomainId, int], free: Iterable[EngineRecord]
) -> list[DomainId]:
    copies = Counter(
        record.domain
        for record in free
        if record.can_join(model.name) or record.staging == model.name
    )
    possible = [domain for domain, number in engines.items() if number >= model.size]
    return sorted(possible, key=lambda domain: (-copies[domain], domain))[:DOMAINS_WANTED]


__all__ = ["WaysBack", "choose_ways_back"]
