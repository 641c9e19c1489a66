# SPDX-License-Identifier: Apache-2.0
"""The next change that brings a domain's groups closer to the bundle."""

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
from ochreway_nodes.controller.halldrainplan import hall_drained
from ochreway_nodes.controller.repair import Damage, Repair, RepairPolicy
from ochreway_nodes.controller.situation import DRAIN_AT_MOST_S, Situation

LOADS_AT_ONCE = 4
"""How many groups or replacements load weights together, as the weight store is rate-limited."""


def plan(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Return the most pressing change, or nothing when all is as the bundle wants it."""
    steps = (
        *(_reformed, _unwanted, _readdressed, _broken, _leaving, hall_drained),
        *(_missing, _standbys, _outdated),
    )
    for step in steps:
        change = step(situation, policy)
        if change is not None:
            return change
    return None


def _reformed(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    for row in situation.rows.groups.values():
        health = situation.health.get(row.leader.node)
        reformed = health.report.reformed if health and health.report else None
        if reformed is None or (reformed.group, reformed.epoch) != (row.group, row.epoch):
            continue
        # A standby that was released in the meantime may be in another group.
        kept = all(situation.rows.group_of(peer.node) == row.group for peer in reformed.all_peers)
        if kept and reformed.formation > row.formation:
            return RecordFormation(row.group, reformed)
    return None


def _unwanted(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    for row in situation.rows.groups.values():
        if row.group in specs:
            continue
        if situation.lost_members(row):
            return DissolveGroup(row.group, "not wanted and broken")
        if not row.draining:
            return DrainGroup(row.group, "not wanted")
        if situation.drained(row):
            return DissolveGroup(row.group, "not wanted")
    return None


def _fits(row: GroupRow, spec: Group) -> bool:
    allowed = set(spec.instances)
    taken_in = all(peer.node in allowed for peer in row.all_peers)
    return row.target == spec.target and len(row.members) == spec.instances_per_replica and taken_in


def _readdressed(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Form a group anew when a member was replaced under its name at another address."""
    specs = situation.specs()
    for row in situation.rows.groups.values():
        members = tuple(situation.peer_now(peer) for peer in row.members)
        back = all(situation.usable(peer.node) for peer in members)
        if row.group in specs and members != row.members and back:
            kept = [peer for peer in row.standbys if not situation.is_drained(peer.node)]
            standbys = tuple(situation.peer_now(peer) for peer in kept)
            return FormGroup(row.group, members, "a member has a new address", (), standbys)
    return None


def _broken(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
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
    healthy = [peer for peer in healthy if situation.usable(peer.node)]
    needed = spec.instances_per_replica - len(healthy)
    spares = situation.free(spec)
    spares += [peer for peer in row.standbys if situation.usable(peer.node)]
    donor = _remnant(situation, row, spec)
    victim = _victim(situation, row, spec)
    damage = Damage(
        lost=needed,
        healthy=len(healthy),
        lost_for_s=max(_lost_for_s(situation, peer) for peer in lost),
        known_dead=any(not _listed(situation, peer) for peer in lost),
        spares=len(spares),
        warm=all(situation.is_warm(peer.node, spec) for peer in spares[:needed]),
        joinable=len(spares) + len(_healthy(situation, donor)),
        takeable=len(spares) + len(_healthy(situation, victim)),
        priority_ratio=1.0 / (1.0 + (victim.priority - row.priority if victim else 0)),
        weights=situation.bundle.weights,
    )
    sources: dict[Repair, GroupRow | None] = {Repair.JOIN: donor, Repair.TAKE: victim}
    repair = policy.choose(damage)
    if repair is Repair.WAIT:
        return None
    source = sources.get(repair)
    fresh = (spares + _healthy(situation, source))[:needed]
    dissolved = (source.group,) if source is not None and len(spares) < needed else ()
    left = spares[needed:] if not dissolved else []
    standbys = tuple(left[: spec.standbys])
    return FormGroup(row.group, tuple(healthy + fresh), repair.value, dissolved, standbys)


def _remnant(situation: Situation, row: GroupRow, spec: Group) -> GroupRow | None:
    """Return another broken group of the section, whose healthy members could join."""
    others = [
        other
        for other in situation.rows.groups.values()
        if other.group != row.group
        and situation.lost_members(other)
        and (other.target, other.priority >= row.priority) == (row.target, True)
        and all(peer.node in spec.instances for peer in other.members)
    ]
    return max(others, key=lambda other: len(_healthy(situation, other)), default=None)


def _victim(situation: Situation, row: GroupRow, spec: Group) -> GroupRow | None:
    """Return the least important group whose members this section may use."""
    others = [
        other
        for other in situation.rows.groups.values()
        if other.priority > row.priority and all(p.node in spec.instances for p in other.members)
    ]
    return max(others, key=lambda other: other.priority, default=None)


def _healthy(situation: Situation, row: GroupRow | None) -> list[Peer]:
    if row is None:
        return []
    return [peer for peer in row.members if situation.usable(peer.node)]


def _lost_for_s(situation: Situation, peer: Peer) -> float:
    health = situation.health.get(peer.node)
    return health.lost_for_s(situation.now_s) if health else 1.0e9


def _listed(situation: Situation, peer: Peer) -> bool:
    health = situation.health.get(peer.node)
    return health is not None and health.listed


def _leaving(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    for row in situation.rows.groups.values():
        staying = [peer for peer in row.members if not situation.is_leaving(peer.node)]
        none_leaves = len(staying) == len(row.members)
        staying = [peer for peer in staying if not situation.is_drained(peer.node)]
        if none_leaves or situation.lost_members(row):
            continue
        if row.group not in specs:
            continue
        if not row.draining:
            return DrainGroup(row.group, "a member is leaving")
        if not situation.drained(row):
            continue
        spec = specs[row.group]
        spares = situation.free(spec)
        spares += [peer for peer in row.standbys if situation.usable(peer.node)]
        missing = len(row.members) - len(staying)
        if len(spares) >= missing:
            members = tuple(staying + spares[:missing])
            standbys = tuple(spares[missing:][: spec.standbys])
            return FormGroup(row.group, members, "a member left", (), standbys)
        return DissolveGroup(row.group, "a member left and there is no spare")
    return None


def _missing(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    if situation.loading() >= LOADS_AT_ONCE:
        # The weight store is rate-limited: what matters most is loaded first.
        return None
    wanted = [item for item in specs.items() if item[0] not in situation.rows.groups]
    for replica, spec in sorted(wanted, key=lambda item: (item[1].priority, item[0])):
        free = situation.free(spec)
        size = spec.instances_per_replica
        if len(free) >= size:
            standbys = tuple(free[size : size + spec.standbys])
            return FormGroup(replica, tuple(free[:size]), "wanted", (), standbys)
    return None


def _standbys(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Release standbys that are not wanted, or without which a group cannot form."""
    specs = situation.specs()
    for row in situation.rows.groups.values():
        spec = specs.get(row.group)
        if spec is None or not row.standbys:
            continue
        missing = any(each not in situation.rows.groups for each in spec.replica_ids())
        missing = missing or any(situation.is_drained(peer.node) for peer in row.standbys)
        if len(row.standbys) > spec.standbys or missing:
            return ReleaseStandbys(row.group, "not wanted, or wanted more elsewhere")
    return None


def _outdated(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    specs = situation.specs()
    # An unwanted group may still be draining; it is not a matter of versions.
    rows = [row for row in situation.rows.groups.values() if row.group in specs]
    down = {row.group for row in rows if row.draining or not situation.serves(row)}
    for row in rows:
        spec = specs[row.group]
        if _fits(row, spec) and row.artifact == situation.bundle.artifact(spec):
            change = _refresh(situation, row, spec)
        else:
            change = _renew(situation, row, spec, down)
        if change is not None:
            return change
    return None


def _refresh(situation: Situation, row: GroupRow, spec: Group) -> GroupChange | None:
    """Reopen a group that drains for nothing, and let new limits take effect."""
    leaving = any(
        situation.is_leaving(peer.node) or situation.is_drained(peer.node) for peer in row.members
    )
    limits = (situation.bundle.slots(spec), spec.priority)
    if (row.draining and not leaving) or limits != (row.slots, row.priority):
        return RefreshGroup(row.group, "nothing to drain for, or new limits")
    return None


def _renew(
    situation: Situation, row: GroupRow, spec: Group, down: set[GroupId]
) -> GroupChange | None:
    """Roll one group: drain it unless it is down anyway, then form it anew."""
    down_anyway = row.group in down and not row.draining and not situation.lost_members(row)
    if down_anyway or (row.draining and situation.drained(row)):
        return _form_anew(situation, row, spec)
    if not row.draining and len(down) < situation.bundle.roll.max_groups_down:
        return DrainGroup(row.group, "new version")
    return None


def _form_anew(situation: Situation, row: GroupRow, spec: Group) -> GroupChange:
    size = spec.instances_per_replica
    named = [peer for peer in row.all_peers if peer.node in spec.instances]
    staying = [peer for peer in named if not situation.is_drained(peer.node)]
    able = staying + situation.free(spec)
    if len(able) < size:
        return DissolveGroup(row.group, "new version, and too few instances")
    standbys = tuple(able[size : size + spec.standbys])
    return FormGroup(row.group, tuple(able[:size]), "new version", (), standbys)


__all__ = ["DRAIN_AT_MOST_S", "LOADS_AT_ONCE", "Situation", "plan"]
