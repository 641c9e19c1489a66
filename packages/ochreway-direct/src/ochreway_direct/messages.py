# SPDX-License-Identifier: Apache-2.0
"""Messages between direct entries."""

from dataclasses import dataclass

from ochreway_core.ids import GroupId, InstanceId, Version
from ochreway_core.message import message
from ochreway_core.peer import Peer
from ochreway_direct.configuration import Configuration
from ochreway_direct.groupview import GroupView
from ochreway_direct.ids import ModelName
from ochreway_direct.listedtarget import ListedTarget


@message(100)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tell another entry what this one knows and does.

    ``echo_s`` returns the newest ``sent_s`` that came from the receiver, on its own clock, so
    whatever is said here was known no earlier than then. ``proof_age_s`` is the age of the
    sender's proof that its configuration is the newest. ``fleet_revision`` is the lease that its
    newest view of the fleet came from, 0 when it has none. ``under_way`` counts requests at each
    place, and ``unread`` the prompt tokens that it has yet to read for them.
    """

    incarnation: str
    sent_s: float
    echo_s: float | None
    version: Version
    proof_age_s: float
    lease_revision: int
    holds_lease: bool
    stopping: bool
    fleet_revision: int
    under_way: dict[str, int]
    unread: dict[str, int]
    offered: dict[ModelName, float]
    peers: tuple[Peer, ...]


@message(101)
@dataclass(frozen=True, slots=True)
class FleetUpdate:
    """Tell other entries which groups serve, which plain targets there are, and who leaves.

    A newer lease goes before an older one, and a later update of the same lease before an
    earlier one. ``listed_age_s`` is the age of the list of targets, or None before it was read.
    """

    lease_revision: int
    sequence: int
    groups: tuple[GroupView, ...]
    lost: tuple[GroupId, ...]
    targets: tuple[ListedTarget, ...]
    leaving: tuple[InstanceId, ...]
    listed_age_s: float | None


@message(102)
@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for the configuration when it is newer than a version."""

    than: Version


@message(103)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Hand over the configuration in force."""

    configuration: Configuration


@message(104)
@dataclass(frozen=True, slots=True)
class Suspicion:
    """Tell the holder of the lease that a group's leader fell silent under requests."""

    group: GroupId


@message(105)
@dataclass(frozen=True, slots=True)
class ListUpdate:
    """Hand the platform's list to a holder of the lease that cannot read it."""

    targets: tuple[ListedTarget, ...]
    age_s: float


__all__ = [
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "FleetUpdate",
    "Heartbeat",
    "ListUpdate",
    "Suspicion",
]
