# SPDX-License-Identifier: Apache-2.0
"""Messages that spread the configuration."""

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
    """Ask for the version in force; sent to whoever showed a newer one.

    ``have`` is the bundle in force at the asker, empty for none.
    """

    have: BundleHash


@message(61)
@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Carry an accepted version."""

    snapshot: Snapshot


@message(66)
@dataclass(frozen=True, slots=True)
class ViewNotice:
    """Show a version, in the batch that carries this, to those who follow."""


@message(67)
@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Carry an accepted version as what differs from a bundle that the asker has."""

    base: BundleHash
    roll: RollRow
    approvals: tuple[Approval, ...]
    delta: BodyDelta


@message(62)
@dataclass(frozen=True, slots=True)
class FollowView:
    """Ask an entry for its version and groups, and for changes for a while.

    ``digest`` is that of the domains' epoch counters that the asker has, ``listing`` that of
    its list of instances; 0 says that it has nothing.
    """

    digest: int
    listing: int


@message(63)
@dataclass(frozen=True, slots=True)
class GroupsUpdate:
    """Carry a domain's groups as of its epoch counter.

    With a ``base`` they are those that changed since that counter, and ``gone`` those that
    ended; without one, 0, they are all.
    """

    domain: DomainId
    base: Epoch
    counter: Epoch
    gone: tuple[GroupId, ...]
    groups: tuple[GroupRow, ...]


@message(65)
@dataclass(frozen=True, slots=True)
class ListingUpdate:
    """Carry what changed in the platform's list; ``whole`` replaces what was known."""

    whole: bool
    instances: tuple[ListedInstance, ...]
    gone: tuple[NodeId, ...]


@message(64)
@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """Tell an agent that the platform lists its instance as leaving."""

    node: NodeId


@message(68)
@dataclass(frozen=True, slots=True)
class HallsUpdate:
    """Carry the drained halls to those who follow."""

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
