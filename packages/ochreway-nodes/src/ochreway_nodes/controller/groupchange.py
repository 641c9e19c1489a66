# SPDX-License-Identifier: Apache-2.0
"""One change to a domain's groups, to be committed as one transaction."""

from dataclasses import dataclass

from ochreway_core.ids import GroupId
from ochreway_core.peer import Peer
from ochreway_core.rows import GroupRow


@dataclass(frozen=True, slots=True)
class FormGroup:
    """Form a group, or form it anew with other members or another artifact."""

    group: GroupId
    members: tuple[Peer, ...]
    why: str
    dissolve: tuple[GroupId, ...] = ()
    standbys: tuple[Peer, ...] = ()


@dataclass(frozen=True, slots=True)
class DrainGroup:
    """Let a group finish what it has and take nothing new."""

    group: GroupId
    why: str


@dataclass(frozen=True, slots=True)
class RefreshGroup:
    """Let a group take work again, under the limits in force."""

    group: GroupId
    why: str


@dataclass(frozen=True, slots=True)
class DissolveGroup:
    """Free a group's instances."""

    group: GroupId
    why: str


@dataclass(frozen=True, slots=True)
class RecordFormation:
    """Write down a formation that a group's leader made without the table."""

    group: GroupId
    row: GroupRow
    why: str = "a standby took a lost member's place"


@dataclass(frozen=True, slots=True)
class ReleaseStandbys:
    """Free a group's standbys while the group goes on."""

    group: GroupId
    why: str


GroupChange = (
    ReleaseStandbys | RecordFormation | FormGroup | DrainGroup | RefreshGroup | DissolveGroup
)

__all__ = [
    "DissolveGroup",
    "DrainGroup",
    "FormGroup",
    "GroupChange",
    "RecordFormation",
    "RefreshGroup",
    "ReleaseStandbys",
]
