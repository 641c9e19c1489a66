# SPDX-License-Identifier: Apache-2.0
"""Moving groups out of drained halls: replacements first, then the drain."""

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

WHY = "its hall is drained"


def hall_drained(situation: Situation, policy: RepairPolicy) -> GroupChange | None:
    """Return the next change that takes a group out of a drained hall."""
    for row, spec in _concerned(situation):
        change = _replaced(situation, row, spec) if row.draining else _drained(situation, row, spec)
        if change is not None:
            return change
    return None


def replacements_to_warm(situation: Situation) -> list[tuple[Peer, str]]:
    """Return instances elsewhere that are to load weights before a group there is drained."""
    taken: set[Peer] = set()
    found = []
    for row, spec in _concerned(situation):
        chosen = [peer for peer in _spares(situation, row, spec) if peer not in taken]
        chosen = chosen[: len(row.members) - len(_staying(situation, row))]
        taken |= set(chosen)
        cold = [peer for peer in chosen if not _ready(situation, peer, spec)]
        found += [(peer, situation.bundle.artifact(spec)) for peer in cold]
    return found


def _concerned(situation: Situation) -> list[tuple[GroupRow, Group]]:
    """Return the wanted, unbroken groups with a member in a drained hall."""
    if not situation.drained_halls:
        return []
    specs = situation.specs()
    return [
        (row, specs[row.group])
        for row in situation.rows.groups.values()
        if row.group in specs
        and any(situation.is_drained(peer.node) for peer in row.members)
        and not situation.lost_members(row)
    ]


def _staying(situation: Situation, row: GroupRow) -> list[Peer]:
    return [peer for peer in row.members if situation.usable(peer.node)]


def _spares(situation: Situation, row: GroupRow, spec: Group) -> list[Peer]:
    standbys = [peer for peer in row.standbys if situation.usable(peer.node)]
    return situation.free(spec) + standbys


def _ready(situation: Situation, peer: Peer, spec: Group) -> bool:
    """Tell whether an instance could serve without loading weights."""
    return not spec.model or situation.is_warm(peer.node, spec)


def _promised(situation: Situation) -> set[Peer]:
    """Return the spares that groups which are being drained are to be formed with."""
    taken: set[Peer] = set()
    for row, spec in _concerned(situation):
        if row.draining:
            free = [peer for peer in _spares(situation, row, spec) if peer not in taken]
            taken |= set(free[: len(row.members) - len(_staying(situation, row))])
    return taken


def _drained(situation: Situation, row: GroupRow, spec: Group) -> GroupChange | None:
    """Drain a group once its replacements are ready, or when its time is over."""
    if any(situation.is_closed(peer.node) for peer in row.members):
        return DrainGroup(row.group, WHY)
    missing = len(row.members) - len(_staying(situation, row))
    promised = _promised(situation)
    spares = [peer for peer in _spares(situation, row, spec) if peer not in promised]
    ready = sum(_ready(situation, peer, spec) for peer in spares)
    if ready >= missing and _down(situation) < situation.bundle.roll.max_groups_down:
        return DrainGroup(row.group, WHY)
    return None


def _down(situation: Situation) -> int:
    rows = situation.rows.groups.values()
    return sum(row.draining or not situation.serves(row) for row in rows)


def _replaced(situation: Situation, row: GroupRow, spec: Group) -> GroupChange | None:
    """Form a drained group with instances elsewhere, or give it up for want of them.

    While it may serve on, one whose replacements are gone again is opened instead.
    """
    if not situation.drained(row):
        return None
    able = _staying(situation, row) + _spares(situation, row, spec)
    size = spec.instances_per_replica
    if len(able) < size:
        if not any(situation.is_closed(peer.node) for peer in row.members):
            return RefreshGroup(row.group, "its replacements are gone")
        return DissolveGroup(row.group, WHY + " and there is no spare")
    standbys = tuple(able[size : size + spec.standbys])
    return FormGroup(row.group, tuple(able[:size]), WHY, (), standbys)


__all__ = ["hall_drained", "replacements_to_warm"]
