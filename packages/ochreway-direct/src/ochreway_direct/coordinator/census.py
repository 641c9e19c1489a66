# SPDX-License-Identifier: Apache-2.0
"""Engines and groups of a service at the beginning of a tick, counted in one pass."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from ochreway_core.ids import DomainId, InstanceId
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.coordinator.state import CURRENT_PHASES, CoordinatorState
from ochreway_direct.ids import ServiceName

RELEASING_PHASES = frozenset({GroupPhase.CLOSING, GroupPhase.DISSOLVING})

EnginesByDomain = defaultdict[DomainId, list[EngineRecord]]
"""Engines of each fabric domain."""


@dataclass(frozen=True, slots=True)
class Census:
    """Engines and groups of a service by domain, without drained halls.

    ``free`` engines can become members; whoever forms a group removes its members from ``free``.
    ``survivors`` are usable engines that groups are about to release. A domain is in
    ``warm_domains`` if an engine there that belongs to no group has weights or is loading some.
    ``current`` counts the forming and serving groups of each group slot.
    """

    free: EnginesByDomain
    survivors: EnginesByDomain
    warm_domains: frozenset[DomainId]
    groups: tuple[GroupRecord, ...]
    current: Counter[GroupSlot]


def take_census(state: CoordinatorState, service: ServiceName) -> Census:
    """Count the engines and groups of a service."""
    unreleased = state.unreleased_members()
    groups = tuple(state.groups_of(service))
    free: EnginesByDomain = defaultdict(list)
    warm_domains = set()
    for record in state.engines.values():
        if record.service != service or record.instance in unreleased or state.is_drained(record):
            continue
        if record.state.staged or record.staging or record.last_model:
            warm_domains.add(record.domain)
        if record.usable and record.membership is None and not record.group_order_pending:
            free[record.domain].append(record)
    current = Counter(GroupSlot(g.domain, g.model) for g in groups if g.phase in CURRENT_PHASES)
    return Census(free, _survivors(state, groups), frozenset(warm_domains), groups, current)


def _survivors(state: CoordinatorState, groups: tuple[GroupRecord, ...]) -> EnginesByDomain:
    releasable: EnginesByDomain = defaultdict(list)
    for group in groups:
        if group.phase not in RELEASING_PHASES:
            continue
        for instance in group.members:
            record = _usable_member(state, group, instance)
            if record is not None:
                releasable[record.domain].append(record)
    return releasable


def _usable_member(
    state: CoordinatorState, group: GroupRecord, instance: InstanceId
) -> EngineRecord | None:
    """Return a member that is not released yet and can serve in another group."""
    record = state.engines.get(instance)
    if record is None or instance in group.released or not record.usable:
        return None
    return record


__all__ = ["Census", "EnginesByDomain", "take_census"]
