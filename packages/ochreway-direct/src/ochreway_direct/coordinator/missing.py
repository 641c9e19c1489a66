# SPDX-License-Identifier: Apache-2.0
"""Placement of the groups that lack weights, where they are completed soonest."""

from collections import Counter
from collections.abc import Mapping

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model


def place_missing_groups(
    spec: EngineSpec,
    formable: Mapping[GroupSlot, int],
    later: Mapping[GroupSlot, int],
    census: Census,
) -> Counter[GroupSlot]:
    """Return the groups that cannot be formed yet, each in the domain with the most of its weights.

    A plan for engines with any weights spreads groups over domains. A group that has just lost a
    member is completed by one load if it is placed where the other members are.

    Args:
        spec: the models.
        formable: the groups that can be formed with the weights that engines have.
        later: the groups that could be formed with any weights.
        census: the engines that are in no group, or about to be in none.
    """
    missing = Counter(later) - Counter(formable)
    shortfall = groups_per_model(later)
    shortfall.subtract(groups_per_model(formable))
    placed: Counter[GroupSlot] = Counter()
    for model in sorted(spec.models, key=lambda each: -each.size):
        joinable = _joinable_per_domain(model, census) if shortfall[model.name] > 0 else {}
        for _ in range(max(0, shortfall[model.name])):
            domain = _claim_fullest(model, joinable)
            slots = [slot for slot in missing if slot.model == model.name and missing[slot] > 0]
            if domain is not None:
                placed[GroupSlot(domain, model.name)] += 1
            elif slots:
                missing[slots[0]] -= 1
                placed[slots[0]] += 1
    return placed


def _joinable_per_domain(model: ModelSpec, census: Census) -> dict[DomainId, int]:
    """Return how many free engines of each domain could join a group of a model at once."""
    return {
        domain: sum(record.can_join(model.name) for record in records)
        for domain, records in census.free.items()
    }


def _claim_fullest(model: ModelSpec, joinable: dict[DomainId, int]) -> DomainId | None:
    """Claim engines for a group in the domain that has the most, if at least half of a group."""
    best = max(joinable, key=lambda domain: (joinable[domain], domain), default=None)
    if best is None or joinable[best] < model.size / 2:
        return None
    joinable[best] -= model.size
    return best


__all__ = ["place_missing_groups"]
