# SPDX-License-Identifier: Apache-2.0
"""Messages that propagate the configuration."""

from dataclasses import dataclass

from ochreway_core.bodydelta import BodyDelta
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import BundleHash, DomainId, Epoch, GroupId, NodeId
from ochreway_core.listing import ListedInstance
from ochreway_core.message import message
from ochreway_core.rows import GroupRow, RollRow
from ochreway_core.signoff import Approval
from ochreway_core.view import Snapshot


@message(60)
@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Request the version in force; sent to a process that announced a newer one.

    ``have`` is the bundle in force at the sender, empty for none.
    """

    have: BundleHash


@message(61)
@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Send an accepted version."""

    snapshot: Snapshot


@message(66)
@dataclass(frozen=True, slots=True)
class ViewNotice:
    """Announce a version to followers; the batch that carries this message states it."""


@message(67)
@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Send an accepted version as a delta to a bundle that the receiver has."""

    base: BundleHash
    roll: RollRow
    approvals: tuple[Approval, ...]
    delta: BodyDelta


@message(62)
@dataclass(frozen=True, slots=True)
class FollowView:
    """Request an entry's version and groups, and their changes for a limited time.

    ``digest`` is that of the sender's epoch counters of the domains, ``listing`` that of its list
    of instances; 0 means that it has none.
    """

    digest: int
    listing: int


@message(63)
@dataclass(frozen=True, slots=True)
class GroupsUpdate:
    """Send a domain's groups as of its epoch counter.

    With a ``base`` they are the groups that changed since that counter, and ``gone`` are those
    that ended; with a ``base`` of 0 they are all groups.
    """

    domain: DomainId
    base: Epoch
    counter: Epoch
    gone: tuple[GroupId, ...]
    groups: tuple[GroupRow, ...]


@message(65)
@dataclass(frozen=True, slots=True)
class ListingUpdate:
    """Send changes of the platform's list; ``whole`` replaces the receiver's list."""

    whole: bool
    instances: tuple[ListedInstance, ...]
    gone: tuple[NodeId, ...]


@message(64)
@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """Notify an agent that the platform lists its instance as leaving."""

    node: NodeId


@message(68)
@dataclass(frozen=True, slots=True)
class HallsUpdate:
    """Send the drained halls to followers."""

    drained: DrainedHalls


__all__ = [
    "FollowView",
    "GroupsUpdate",
    "HallsUpdate",
    "LeaveNotice",
    "ListingUpdate",
    "ViewDelta",
    "ViewNotice",
    "ViewRequest",
    "ViewUpdate",
]
