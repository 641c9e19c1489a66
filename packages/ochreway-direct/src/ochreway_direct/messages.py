# SPDX-License-Identifier: Apache-2.0
"""Messages between direct entries."""

from dataclasses import dataclass, field, replace

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import GroupId, HallId, InstanceId, Version
from ochreway_core.message import message
from ochreway_core.peer import Peer
from ochreway_direct.configuration import Configuration
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import CellId
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.sendlimits.loan import Loan
from ochreway_direct.targetlimits.poolnews import NO_POOL_NEWS, PoolNews
from ochreway_direct.work import Work


@dataclass(frozen=True, slots=True)
class LeaseSighting:
    """Name the holder of the lease, and how long ago it said so."""

    peer: Peer
    revision: int
    silent_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetMark:
    """Name a view of the fleet, and how long ago its holder stood by it.

    ``listed_age_s`` is the age of the list of targets, or None before it was read.
    """

    lease_revision: int = 0
    sequence: int = 0
    age_s: float = 0.0
    listed_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class DrainNews:
    """Tell which halls are drained, and how long ago a reading without each was last asked for."""

    drained: DrainedHalls = UNREAD_HALLS
    unseen_age_s: dict[HallId, float] = field(default_factory=dict)


def aged(mark: FleetMark, by_s: float) -> FleetMark:
    """Return a mark that is older by a time."""
    listed_age_s = mark.listed_age_s + by_s if mark.listed_age_s is not None else None
    return replace(mark, age_s=mark.age_s + by_s, listed_age_s=listed_age_s)


@message(100)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tell another entry what this one knows and does.

    ``echo_s`` returns the newest ``sent_s`` that came from the receiver, on its own clock, so
    whatever is said here was known no earlier than then. ``proof_age_s`` is the age of the
    sender's proof that its configuration is the newest. ``wanted`` asks for heartbeats in return.
    ``coverage`` says whose ``work`` is counted, ``cell`` the sender's own. ``entries`` names some
    of those that the sender knows; others come later. ``loan`` is what the receiver is lent,
    ``pool`` tells of limits that targets named and how they are divided.
    """

    incarnation: str
    hall: HallId
    strength: float
    sent_s: float
    echo_s: float | None
    wanted: bool
    version: Version
    proof_age_s: float
    stopping: bool
    holder: LeaseSighting | None
    fleet: FleetMark
    cell: CellId
    coverage: Coverage
    work: Work
    entries: tuple[KnownEntry, ...]
    drains: DrainNews = field(default_factory=DrainNews)
    loan: Loan | None = None
    pool: PoolNews = NO_POOL_NEWS


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


@message(106)
@dataclass(frozen=True, slots=True)
class FleetChange:
    """Tell what is different from the update or change before it, of the same lease.

    ``groups`` holds new groups and changed ones, ``gone`` those that serve no more.
    """

    lease_revision: int
    sequence: int
    groups: tuple[GroupView, ...]
    gone: tuple[GroupId, ...]
    lost: tuple[GroupId, ...]
    targets: tuple[ListedTarget, ...]
    leaving: tuple[InstanceId, ...]
    listed_age_s: float | None


@message(107)
@dataclass(frozen=True, slots=True)
class FleetRequest:
    """Ask for the view of the fleet, as the sender's own is older or lacks a change."""


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
    "DrainNews",
    "FleetChange",
    "FleetMark",
    "FleetRequest",
    "FleetUpdate",
    "Heartbeat",
    "LeaseSighting",
    "ListUpdate",
    "Suspicion",
    "aged",
]
