# SPDX-License-Identifier: Apache-2.0
"""Messages that spread the configuration."""

from dataclasses import dataclass

from ochreway_core.ids import DomainId, Epoch, NodeId
from ochreway_core.listing import ListedInstance
from ochreway_core.message import message
from ochreway_core.rows import GroupRow
from ochreway_core.view import Snapshot


@message(60)
@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Ask for the version in force; sent to whoever showed a newer one."""


@message(61)
@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Carry an accepted version."""

    snapshot: Snapshot


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
    """Carry a domain's groups as of its epoch counter."""

    domain: DomainId
    counter: Epoch
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


__all__ = [
    "FollowView",
    "GroupsUpdate",
    "LeaveNotice",
    "ListingUpdate",
    "ViewRequest",
    "ViewUpdate",
]
