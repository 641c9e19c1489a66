# SPDX-License-Identifier: Apache-2.0
"""Orders to engines, and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import Epoch, GroupId, InstanceId
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class Join:
    """Make an engine a member of a group; the first member leads."""

    group: GroupId
    epoch: Epoch
    model: ModelName
    members: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class Open:
    """Let a group's leader accept requests."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Close:
    """Let a group's leader finish its requests and accept no more."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Leave:
    """Remove an engine from its group at once."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Stage:
    """Load a model's weights onto an engine's host, in addition to what it serves."""

    model: ModelName


Order = Join | Open | Close | Leave | Stage


class OrderOutcome(Enum):
    """Outcome of an order; ``UNKNOWN`` means that it may or may not have been accepted."""

    BEGUN = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"
    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned_away"
    """The engine rejected the order and requested a backoff."""
    UNKNOWN = "unknown"


__all__ = ["Close", "Join", "Leave", "Open", "Order", "OrderOutcome", "Stage"]
