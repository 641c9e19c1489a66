# SPDX-License-Identifier: Apache-2.0
"""How many groups of each model every fabric domain should have."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.demand import gain
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class Slot:
    """Name a place for a group: a domain and a model."""

    domain: DomainId
    model: ModelName


def plan(
    spec: EngineSpec,
    needs: Mapping[ModelName, float],
    engines: Mapping[DomainId, int],
    standing: Mapping[Slot, int],
    tuning: CoordinatorTuning,
) -> Counter[Slot]:
    """Return the number of groups for each place, the most useful first.

    A group goes where it leaves the fewest engines over, so that larger ones still find room.

    Args:
        spec: the models and their sizes.
        needs: the work offered for each model, in groups kept busy.
        engines: the usable engines of each domain.
        standing: the groups there are, which are preferred to new ones.
        tuning: the weights.
    """
    left = dict(engines)
    chosen: Counter[Slot] = Counter()
    totals: Counter[ModelName] = Counter()

    def value(domain: DomainId, model: ModelSpec) -> float:
        added = gain(needs[model.name], totals[model.name], tuning.crowding) / model.size
        slot = Slot(domain, model.name)
        stands = chosen[slot] < standing.get(slot, 0)
        return added * (tuning.keep_bonus if stands else 1.0)

    while True:
        options = [
            (value(domain, model), -left[domain], domain, model)
            for domain in sorted(left)
            for model in spec.models
            if left[domain] >= model.size
        ]
        if not options:
            return chosen
        _, _, domain, model = max(options, key=lambda option: option[:2])
        chosen[Slot(domain, model.name)] += 1
        totals[model.name] += 1
        left[domain] -= model.size


__all__ = ["Slot", "plan"]
