# SPDX-License-Identifier: Apache-2.0
"""What the coordinator knows of one group."""

from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.ids import DomainId, Epoch, GroupId, InstanceId
from ochreway_direct.ids import ModelName, ServiceName

NEVER_S = -1.0e9
SPANNING = DomainId("")
"""Stands for the domain of a group whose members are in several."""


class GroupPhase(Enum):
    """Say what the coordinator is doing with a group."""

    FORMING = "forming"
    SERVING = "serving"
    CLOSING = "closing"
    DISSOLVING = "dissolving"


class PhaseCause(Enum):
    """Say why a group entered its phase."""

    BEGUN = "begun"
    ADOPTED = "adopted"
    OPENED = "opened"
    MEMBER_SILENT = "member_silent"
    MEMBER_LEFT = "member_left"
    MEMBER_BROKEN = "member_broken"
    MEMBER_LEAVING = "member_leaving"
    HALL_DRAINED = "hall_drained"
    """A member's hall is drained, and the others are of use elsewhere."""
    FENCED = "fenced"
    TOO_LATE = "too_late"
    SHUT = "shut"
    """Its leader reports that it takes nothing more."""
    ENDED = "ended"
    """Its requests have ended."""
    OVERDUE = "overdue"
    """Its requests had their time, and some may still run."""
    TRADED = "traded"
    SWAPPED = "swapped"


@dataclass(slots=True)
class GroupRecord:
    """Hold a group's members, the first of which leads, and those that were seen ready.

    A ``fenced`` group was refused by a member that has seen a newer epoch. ``blamed`` is the member
    that the newest change is for, if it is for one.
    """

    group: GroupId
    epoch: Epoch
    service: ServiceName
    domain: DomainId
    model: ModelName
    members: tuple[InstanceId, ...]
    phase: GroupPhase
    since_s: float
    expected_s: float = 0.0
    close_timeout_s: float = 0.0
    serving_from_s: float | None = None
    last_suspected_s: float = NEVER_S
    cause: PhaseCause = PhaseCause.BEGUN
    blamed: InstanceId | None = None
    fenced: bool = False
    ready: set[InstanceId] = field(default_factory=set)
    leave_ordered: set[InstanceId] = field(default_factory=set)
    released: set[InstanceId] = field(default_factory=set)

    @property
    def leader(self) -> InstanceId:
        """Return the member that takes the group's requests."""
        return self.members[0]

    def enter(
        self,
        phase: GroupPhase,
        now_s: float,
        cause: PhaseCause,
        blamed: InstanceId | None = None,
    ) -> None:
        """Begin a phase for a reason."""
        self.phase = phase
        self.cause = cause
        self.blamed = blamed
        self.since_s = now_s


__all__ = ["SPANNING", "GroupPhase", "GroupRecord", "PhaseCause"]
