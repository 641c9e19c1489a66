# SPDX-License-Identifier: Apache-2.0
"""Planning of moves out of drained halls: warm replacements first, then drain the group."""

from ochreway_core.bundle import Group
from ochreway_core.peer import Peer
from ochreway_core.rows import GroupRow
from ochreway_nodes.controller.groupchange import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    GroupChange,
    RefreshGroup,
)
from ochreway_nodes.controller.repair import RepairPolicy
from ochreway_nodes.controller.situation import Situation

HALL_DRAIN_REASON = "its hall is drained"


def next_hall_drain_change(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Return the next change that moves a group out of a drained hall."""
    for row, spec in _affected_groups(situation):
        change = (
            _reform_elsewhere(situation, row, spec)
            if row.draining
            else _drain_when_ready(situation, row, spec)
        )
        if change is not None:
            return change
    return None


def replacements_to_warm(situation: Situation) -> list[tuple[Peer, str]]:
    """Return the replacements in other halls that still have to load weights, with the artifact.

    A group in a drained hall keeps serving until its replacements are warm.
    """
    chosen_before: set[Peer] = set()
    to_warm = []
    for row, spec in _affected_groups(situation):
        chosen = [peer for peer in _spares(situation, row, spec) if peer not in chosen_before]
        chosen = chosen[: len(row.members) - len(_remaining_members(situation, row))]
        chosen_before |= set(chosen)
        cold = [peer for peer in chosen if not _can_serve_at_once(situation, peer, spec)]
        to_warm += [(peer, situation.bundle.artifact(spec)) for peer in cold]
    return to_warm


def _affected_groups(situation: Situation) -> list[tuple[GroupRow, Group]]:
    """Return the groups of the bundle that have a member in a drained hall and lost none."""
    if not situation.drained_halls:
        return []
    specs = situation.specs()
    return [
        (row, specs[row.group])
        for row in situation.rows.groups.values()
        if row.group in specs
        and any(situation.in_drained_hall(peer.node) for peer in row.members)
        and not situation.lost_members(row)
    ]


def _remaining_members(situation: Situation, row: GroupRow) -> list[Peer]:
    return [peer for peer in row.members if situation.is_usable(peer.node)]


def _spares(situation: Situation, row: GroupRow, spec: Group) -> list[Peer]:
    standbys = [peer for peer in row.standbys if situation.is_usable(peer.node)]
    return situation.free_instances(spec) + standbys


def _can_serve_at_once(situation: Situation, peer: Peer, spec: Group) -> bool:
    """Return whether an instance could serve without loading weights."""
    return not spec.model or situation.is_warm(peer.node, spec)


def _reserved_spares(situation: Situation) -> set[Peer]:
    """Return the spares that draining groups will be re-formed with."""
    reserved: set[Peer] = set()
    for row, spec in _affected_groups(situation):
        if row.draining:
            free = [peer for peer in _spares(situation, row, spec) if peer not in reserved]
            reserved |= set(free[: len(row.members) - len(_remaining_members(situation, row))])
    return reserved


def _drain_when_ready(situation: Situation, row: GroupRow, spec: Group) -> GroupChange | None:
    """Drain a group once its replacements are ready, or once its hall is closed."""
    if any(situation.in_closed_hall(peer.node) for peer in row.members):
        return DrainGroup(row.group, HALL_DRAIN_REASON)
    missing = len(row.members) - len(_remaining_members(situation, row))
    others_spares = _reserved_spares(situation)
    spares = [peer for peer in _spares(situation, row, spec) if peer not in others_spares]
    ready = sum(_can_serve_at_once(situation, peer, spec) for peer in spares)
    if ready >= missing and _down_count(situation) < situation.bundle.roll.max_groups_down:
        return DrainGroup(row.group, HALL_DRAIN_REASON)
    return None


def _down_count(situation: Situation) -> int:
    rows = situation.rows.groups.values()
    return sum(row.draining or not situation.is_serving(row) for row in rows)


def _reform_elsewhere(situation: Situation, row: GroupRow, spec: Group) -> GroupChange | None:
    """Re-form a drained group in other halls, or dissolve it if there are too few instances.

    Until its hall is closed, a group whose replacements were lost is reopened instead.
    """
    if not situation.has_drained(row):
        return None
    candidates = _remaining_members(situation, row) + _spares(situation, row, spec)
    size = spec.instances_per_replica
    if len(candidates) < size:
        if not any(situation.in_closed_hall(peer.node) for peer in row.members):
            return RefreshGroup(row.group, "its replacements were lost")
        return DissolveGroup(row.group, HALL_DRAIN_REASON + " and there is no spare")
    standbys = tuple(candidates[size : size + spec.standbys])
    return FormGroup(row.group, tuple(candidates[:size]), HALL_DRAIN_REASON, (), standbys)


__all__ = ["next_hall_drain_change", "replacements_to_warm"]
