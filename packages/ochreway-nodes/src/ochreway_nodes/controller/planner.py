# SPDX-License-Identifier: Apache-2.0
"""Planning of the next change that brings a domain's groups closer to the bundle."""

from ochreway_core.bundle import Group
from ochreway_core.ids import GroupId
from ochreway_core.peer import Peer
from ochreway_core.rows import GroupRow
from ochreway_nodes.controller.groupchange import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    GroupChange,
    RecordFormation,
    RefreshGroup,
    ReleaseStandbys,
)
from ochreway_nodes.controller.halldrainplan import next_hall_drain_change
from ochreway_nodes.controller.repair import Damage, Repair, RepairPolicy
from ochreway_nodes.controller.situation import MAX_DRAIN_S, Situation

MAX_CONCURRENT_LOADS = 4
"""Bound on groups and replacements that load weights at once: the weight store is rate-limited."""


def next_change(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Return the most urgent change, or None if the groups match the bundle."""
    steps = (
        *(
            _record_formations,
            _remove_unwanted,
            _update_addresses,
            _repair_broken,
            _replace_leaving,
            next_hall_drain_change,
        ),
        *(_form_missing, _release_standbys, _roll_outdated),
    )
    for step in steps:
        change = step(situation, policy)
        if change is not None:
            return change
    return None


def _record_formations(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    for row in situation.rows.groups.values():
        health = situation.health.get(row.leader.node)
        reformed = health.report.reformed if health and health.report else None
        if reformed is None or (reformed.group, reformed.epoch) != (row.group, row.epoch):
            continue
        # A standby that was released in the meantime may belong to another group by now.
        kept = all(situation.rows.group_of(peer.node) == row.group for peer in reformed.all_peers)
        if kept and reformed.formation > row.formation:
            return RecordFormation(row.group, reformed)
    return None


def _remove_unwanted(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    for row in situation.rows.groups.values():
        if row.group in specs:
            continue
        if situation.lost_members(row):
            return DissolveGroup(row.group, "not wanted and broken")
        if not row.draining:
            return DrainGroup(row.group, "not wanted")
        if situation.has_drained(row):
            return DissolveGroup(row.group, "not wanted")
    return None


def _matches_spec(row: GroupRow, spec: Group) -> bool:
    allowed = set(spec.instances)
    all_allowed = all(peer.node in allowed for peer in row.all_peers)
    return (
        row.target == spec.target and len(row.members) == spec.instances_per_replica and all_allowed
    )


def _update_addresses(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Re-form a group when a member came back under the same name at another address."""
    specs = situation.specs()
    for row in situation.rows.groups.values():
        members = tuple(situation.current_peer(peer) for peer in row.members)
        all_usable = all(situation.is_usable(peer.node) for peer in members)
        if row.group in specs and members != row.members and all_usable:
            kept = [peer for peer in row.standbys if not situation.in_drained_hall(peer.node)]
            standbys = tuple(situation.current_peer(peer) for peer in kept)
            return FormGroup(row.group, members, "a member has a new address", (), standbys)
    return None


def _repair_broken(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    broken = [row for row in situation.rows.groups.values() if situation.lost_members(row)]
    for row in sorted(broken, key=lambda row: (row.priority, row.group)):
        spec = specs.get(row.group)
        change = _repair(situation, policy, row, spec) if spec else None
        if change is not None:
            return change
    return None


def _repair(
    situation: Situation, policy: RepairPolicy, row: GroupRow, spec: Group
) -> GroupChange | None:
    lost = situation.lost_members(row)
    healthy = [peer for peer in row.members if peer not in lost]
    healthy = [peer for peer in healthy if situation.is_usable(peer.node)]
    needed = spec.instances_per_replica - len(healthy)
    spares = situation.free_instances(spec)
    spares += [peer for peer in row.standbys if situation.is_usable(peer.node)]
    donor = _joinable_group(situation, row, spec)
    victim = _victim(situation, row, spec)
    damage = Damage(
        replacements_needed=needed,
        healthy=len(healthy),
        silent_for_s=max(_silent_for_s(situation, peer) for peer in lost),
        known_dead=any(not _is_listed(situation, peer) for peer in lost),
        spares=len(spares),
        spares_warm=all(situation.is_warm(peer.node, spec) for peer in spares[:needed]),
        joinable=len(spares) + len(_usable_members(situation, donor)),
        preemptable=len(spares) + len(_usable_members(situation, victim)),
        priority_ratio=1.0 / (1.0 + (victim.priority - row.priority if victim else 0)),
        weights=situation.bundle.weights,
    )
    sources: dict[Repair, GroupRow | None] = {Repair.JOIN: donor, Repair.PREEMPT: victim}
    repair = policy.choose(damage)
    if repair is Repair.WAIT:
        return None
    source = sources.get(repair)
    replacements = (spares + _usable_members(situation, source))[:needed]
    dissolved = (source.group,) if source is not None and len(spares) < needed else ()
    remaining_spares = spares[needed:] if not dissolved else []
    standbys = tuple(remaining_spares[: spec.standbys])
    return FormGroup(row.group, tuple(healthy + replacements), repair.value, dissolved, standbys)


def _joinable_group(situation: Situation, row: GroupRow, spec: Group) -> GroupRow | None:
    """Return another broken group of the section, of equal or lower priority, to take members from.

    Of several, the one with the most usable members is returned.
    """
    eligible = [
        other
        for other in situation.rows.groups.values()
        if other.group != row.group
        and situation.lost_members(other)
        and (other.target, other.priority >= row.priority) == (row.target, True)
        and all(peer.node in spec.instances for peer in other.members)
    ]
    return max(eligible, key=lambda other: len(_usable_members(situation, other)), default=None)


def _victim(situation: Situation, row: GroupRow, spec: Group) -> GroupRow | None:
    """Return the group of lowest priority whose members this section may use."""
    eligible = [
        other
        for other in situation.rows.groups.values()
        if other.priority > row.priority and all(p.node in spec.instances for p in other.members)
    ]
    return max(eligible, key=lambda other: other.priority, default=None)


def _usable_members(situation: Situation, row: GroupRow | None) -> list[Peer]:
    if row is None:
        return []
    return [peer for peer in row.members if situation.is_usable(peer.node)]


def _silent_for_s(situation: Situation, peer: Peer) -> float:
    health = situation.health.get(peer.node)
    return health.silent_for_s(situation.now_s) if health else 1.0e9


def _is_listed(situation: Situation, peer: Peer) -> bool:
    health = situation.health.get(peer.node)
    return health is not None and health.listed


def _replace_leaving(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    for row in situation.rows.groups.values():
        staying = [peer for peer in row.members if not situation.is_leaving(peer.node)]
        none_leaves = len(staying) == len(row.members)
        staying = [peer for peer in staying if not situation.in_drained_hall(peer.node)]
        if none_leaves or situation.lost_members(row):
            continue
        if row.group not in specs:
            continue
        if not row.draining:
            return DrainGroup(row.group, "a member is leaving")
        if not situation.has_drained(row):
            continue
        spec = specs[row.group]
        spares = situation.free_instances(spec)
        spares += [peer for peer in row.standbys if situation.is_usable(peer.node)]
        missing = len(row.members) - len(staying)
        if len(spares) >= missing:
            members = tuple(staying + spares[:missing])
            standbys = tuple(spares[missing:][: spec.standbys])
            return FormGroup(row.group, members, "a member left", (), standbys)
        return DissolveGroup(row.group, "a member left and there is no spare")
    return None


def _form_missing(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    if situation.loading_count() >= MAX_CONCURRENT_LOADS:
        # The weight store is rate-limited, so groups of higher priority load first.
        return None
    unformed = [item for item in specs.items() if item[0] not in situation.rows.groups]
    for replica, spec in sorted(unformed, key=lambda item: (item[1].priority, item[0])):
        free = situation.free_instances(spec)
        size = spec.instances_per_replica
        if len(free) >= size:
            standbys = tuple(free[size : size + spec.standbys])
            return FormGroup(replica, tuple(free[:size]), "wanted", (), standbys)
    return None


def _release_standbys(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Release a group's standbys when they are too many, needed elsewhere or in a drained hall.

    They are needed elsewhere while a replica of the section has no group.
    """
    specs = situation.specs()
    for row in situation.rows.groups.values():
        spec = specs.get(row.group)
        if spec is None or not row.standbys:
            continue
        missing = any(replica_id not in situation.rows.groups for replica_id in spec.replica_ids())
        missing = missing or any(situation.in_drained_hall(peer.node) for peer in row.standbys)
        if len(row.standbys) > spec.standbys or missing:
            return ReleaseStandbys(row.group, "not configured, or needed elsewhere")
    return None


def _roll_outdated(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    # Groups that the bundle no longer names may still be draining; they do not count here.
    rows = [row for row in situation.rows.groups.values() if row.group in specs]
    down = {row.group for row in rows if row.draining or not situation.is_serving(row)}
    for row in rows:
        spec = specs[row.group]
        if _matches_spec(row, spec) and row.artifact == situation.bundle.artifact(spec):
            change = _refresh_group(situation, row, spec)
        else:
            change = _roll_group(situation, row, spec, down)
        if change is not None:
            return change
    return None


def _refresh_group(situation: Situation, row: GroupRow, spec: Group) -> GroupChange | None:
    """Reopen a group that no longer has a reason to drain, and apply changed limits."""
    leaving = any(
        situation.is_leaving(peer.node) or situation.in_drained_hall(peer.node)
        for peer in row.members
    )
    limits = (situation.bundle.slots(spec), spec.priority)
    if (row.draining and not leaving) or limits != (row.slots, row.priority):
        return RefreshGroup(row.group, "no reason to drain, or new limits")
    return None


def _roll_group(
    situation: Situation, row: GroupRow, spec: Group, down: set[GroupId]
) -> GroupChange | None:
    """Roll one group to the new version: drain it unless it is down already, then re-form it."""
    already_down = row.group in down and not row.draining and not situation.lost_members(row)
    if already_down or (row.draining and situation.has_drained(row)):
        return _reform(situation, row, spec)
    if not row.draining and len(down) < situation.bundle.roll.max_groups_down:
        return DrainGroup(row.group, "new version")
    return None


def _reform(situation: Situation, row: GroupRow, spec: Group) -> GroupChange:
    size = spec.instances_per_replica
    section_members = [peer for peer in row.all_peers if peer.node in spec.instances]
    staying = [peer for peer in section_members if not situation.in_drained_hall(peer.node)]
    candidates = staying + situation.free_instances(spec)
    if len(candidates) < size:
        return DissolveGroup(row.group, "new version, and too few instances")
    standbys = tuple(candidates[size : size + spec.standbys])
    return FormGroup(row.group, tuple(candidates[:size]), "new version", (), standbys)


__all__ = ["MAX_DRAIN_S", "MAX_CONCURRENT_LOADS", "Situation", "next_change"]
