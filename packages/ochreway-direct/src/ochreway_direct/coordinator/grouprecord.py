# SPDX-License-Identifier: Apache-2.0
"""State of one group as the coordinator knows it."""

from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.ids import DomainId, Epoch, GroupId, InstanceId
from ochreway_direct.ids import ModelName, ServiceName

NEVER_S = -1.0e9
SPANNING = DomainId("")
"""Domain of a group whose members are in several domains."""


class GroupPhase(Enum):
    """Phase of a group in the coordinator."""

    FORMING = "forming"
    SERVING = "serving"
    CLOSING = "closing"
    DISSOLVING = "dissolving"


class PhaseCause(Enum):
    """Reason for which a group entered its phase."""

    BEGUN = "begun"
    ADOPTED = "adopted"
    OPENED = "opened"
    MEMBER_SILENT = "member_silent"
    MEMBER_LEFT = "member_left"
    MEMBER_BROKEN = "member_broken"
    MEMBER_LEAVING = "member_leaving"
    HALL_DRAINED = "hall_drained"
    """A member's hall is drained, and the other members can be used elsewhere."""
    FENCED = "fenced"
    TOO_LATE = "too_late"
    WEIGHTS_MISSING = "weights_missing"
    """A member has to load the weights with which it was expected to join."""
    SHUT = "shut"
    """The leader reports that it accepts no more requests."""
    ENDED = "ended"
    """The group's requests have ended."""
    OVERDUE = "overdue"
    """The time for the group's requests is over, and some may still run."""
    TRADED = "traded"
    SWAPPED = "swapped"


@dataclass(slots=True)
class GroupRecord:
    """Members and phase of a group; the first member is the leader.

    ``ready`` holds the members that were seen ready. A ``fenced`` group was refused by a member
    that has seen a newer epoch. ``blamed`` is the member that caused the latest phase change, if
    any.
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
        """Return the member that accepts the group's requests."""
        return self.members[0]

    def enter(
        self,
        phase: GroupPhase,
        now_s: float,
        cause: PhaseCause,
        blamed: InstanceId | None = None,
    ) -> None:
        """Enter a phase."""
        self.phase = phase
        self.cause = cause
        self.blamed = blamed
        self.since_s = now_s


__all__ = ["SPANNING", "GroupPhase", "GroupRecord", "PhaseCause"]
