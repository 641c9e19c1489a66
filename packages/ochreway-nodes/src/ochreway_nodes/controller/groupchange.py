# SPDX-License-Identifier: Apache-2.0
"""Changes to a domain's groups, each committed as one transaction."""

from dataclasses import dataclass

from ochreway_core.ids import GroupId
from ochreway_core.peer import Peer
from ochreway_core.rows import GroupRow


@dataclass(frozen=True, slots=True)
class FormGroup:
    """Form a group, or replace its members or artifact.

    The groups in ``dissolve`` give up their instances in the same transaction.
    """

    group: GroupId
    members: tuple[Peer, ...]
    why: str
    dissolve: tuple[GroupId, ...] = ()
    standbys: tuple[Peer, ...] = ()


@dataclass(frozen=True, slots=True)
class DrainGroup:
    """Let a group finish its requests without admitting new ones."""

    group: GroupId
    why: str


@dataclass(frozen=True, slots=True)
class RefreshGroup:
    """Let a group admit requests again, under the slots and priority in force."""

    group: GroupId
    why: str


@dataclass(frozen=True, slots=True)
class DissolveGroup:
    """Remove a group and free its instances."""

    group: GroupId
    why: str


@dataclass(frozen=True, slots=True)
class RecordFormation:
    """Write to the table a formation that a group's leader made on its own."""

    group: GroupId
    row: GroupRow
    why: str = "a standby took a lost member's place"


@dataclass(frozen=True, slots=True)
class ReleaseStandbys:
    """Free a group's standbys while the group keeps serving."""

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
