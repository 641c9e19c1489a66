# SPDX-License-Identifier: Apache-2.0
"""Where the groups that lack weights are completed soonest."""

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
    """Return the groups that a plan has more than there can be now, where the most weights are.

    A plan for engines with any weights spreads groups over domains; a group that has just lost a
    member is completed by one load where the others are.

    Args:
        spec: the models.
        at_once: the groups that can be formed with the weights that engines have.
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
    """Count the free engines of each domain that could join a group of a model at once."""
    return {
        domain: sum(record.can_join(model.name) for record in records)
        for domain, records in census.free.items()
    }


def _claim_fullest(model: ModelSpec, joinable: dict[DomainId, int]) -> DomainId | None:
    """Return the domain that has most engines for one more group, if half of one at least."""
    best = max(joinable, key=lambda domain: (joinable[domain], domain), default=None)
    if best is None or joinable[best] < model.size / 2:
        return None
    joinable[best] -= model.size
    return best


__all__ = ["place_missing_groups"]
