# SPDX-License-Identifier: Apache-2.0
"""Where the groups that lack weights are completed soonest."""

from collections import Counter
from collections.abc import Mapping

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.placement import Slot, totals_of


def where_least_lacks(
    spec: EngineSpec, at_once: Mapping[Slot, int], later: Mapping[Slot, int], census: Census
) -> Counter[Slot]:
    """Return the groups that a plan has more than there can be now, where the most weights are.

    A plan for engines with any weights spreads groups over domains; a group that has just lost a
    member is completed by one load where the others are.

    Args:
        spec: the models.
        at_once: the groups that can be formed with the weights that engines have.
        later: the groups that could be formed with any weights.
        census: the engines that are in no group, or about to be in none.
    """
    missing = Counter(later) - Counter(at_once)
    short = totals_of(later)
    short.subtract(totals_of(at_once))
    found: Counter[Slot] = Counter()
    for model in sorted(spec.models, key=lambda each: -each.size):
        able = _able(model, census) if short[model.name] > 0 else {}
        for _ in range(max(0, short[model.name])):
            domain = _take_fullest(model, able)
            slots = [slot for slot in missing if slot.model == model.name and missing[slot] > 0]
            if domain is not None:
                found[Slot(domain, model.name)] += 1
            elif slots:
                missing[slots[0]] -= 1
                found[slots[0]] += 1
    return found


def _able(model: ModelSpec, census: Census) -> dict[DomainId, int]:
    """Count the free engines of each domain that could join a group of a model at once."""
    return {
        domain: sum(record.quick(model.name) for record in records)
        for domain, records in census.free.items()
    }


def _take_fullest(model: ModelSpec, able: dict[DomainId, int]) -> DomainId | None:
    """Return the domain that has most engines for one more group, if half of one at least."""
    best = max(able, key=lambda domain: (able[domain], domain), default=None)
    if best is None or able[best] < model.size / 2:
        return None
    able[best] -= model.size
    return best


__all__ = ["where_least_lacks"]
