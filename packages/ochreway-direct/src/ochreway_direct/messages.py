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
from ochreway_direct.sendlimits.loannews import LoanNews
from ochreway_direct.targetlimits.poolnews import NO_POOL_NEWS, PoolNews
from ochreway_direct.work import Work


@dataclass(frozen=True, slots=True)
class LeaseSighting:
    """Identify the holder of the lease, and how long ago its claim was last received.

    ``loans`` reports the loans of the sender, whoever holds the lease.
    """

    peer: Peer
    revision: int
    silent_s: float = 0.0
    loans: LoanNews | None = None


@dataclass(frozen=True, slots=True)
class FleetMark:
    """Identify a version of the fleet view, and how long ago its publisher last confirmed it.

    ``listed_age_s`` is the age of the list of targets, or None before it was read.
    """

    lease_revision: int = 0
    sequence: int = 0
    age_s: float = 0.0
    listed_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class DrainNews:
    """Report the drained halls.

    ``unseen_age_s`` is, for each, how long ago the poll of the last reading without it was sent.
    """

    drained: DrainedHalls = UNREAD_HALLS
    unseen_age_s: dict[HallId, float] = field(default_factory=dict)


def aged(mark: FleetMark, by_s: float) -> FleetMark:
    """Return a mark whose ages are increased by ``by_s``."""
    listed_age_s = mark.listed_age_s + by_s if mark.listed_age_s is not None else None
    return replace(mark, age_s=mark.age_s + by_s, listed_age_s=listed_age_s)


@message(100)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Report the sender's state and work to another entry.

    ``echo_s`` returns the newest ``sent_s`` received from the receiver, on the receiver's clock, so
    the contents are no older than that. ``proof_age_s`` is the age of the sender's proof that its
    configuration is the newest. ``wanted`` requests heartbeats in return. ``coverage`` defines
    whose ``work`` is reported, and ``cell`` is the sender's cell. ``entries`` names some of the
    entries that the sender knows; the others follow in later heartbeats. ``loan`` is what the
    receiver is lent, and ``pool`` reports the limits that targets announced and their division.
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
    """Publish the serving groups, the plain targets and the leaving instances.

    An update of a newer lease takes precedence over one of an older lease, and a later update of
    the same lease over an earlier one. ``listed_age_s`` is the age of the list of targets, or None
    before it was read.
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
    """Publish the differences from the previous update or change of the same lease.

    ``groups`` holds new and changed groups, ``gone`` those that no longer serve.
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
    """Request the full view of the fleet, as the sender's own is older or misses a change."""


@message(102)
@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Request the configuration if it is newer than a version."""

    than: Version


@message(103)
@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Send the configuration in force."""

    configuration: Configuration


@message(104)
@dataclass(frozen=True, slots=True)
class Suspicion:
    """Notify the lease holder that a group's leader fell silent with open requests."""

    group: GroupId


@message(105)
@dataclass(frozen=True, slots=True)
class ListUpdate:
    """Send the platform's list to a lease holder, or to entries that may become it."""

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
