# SPDX-License-Identifier: Apache-2.0
"""What the coordinator knows of one group."""

from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.ids import DomainId, Epoch, GroupId, InstanceId
from ochreway_direct.ids import ModelName, ServiceName

SPANNING = DomainId("")
"""Stands for the domain of a group whose members are in several."""


class GroupPhase(Enum):
    """Say what the coordinator is doing with a group."""

    FORMING = "forming"
    SERVING = "serving"
    CLOSING = "closing"
    DISSOLVING = "dissolving"


@dataclass(slots=True)
class GroupRecord:
    """Hold a group's members, the first of which leads, and those that were seen ready.

    A ``fenced`` group was refused by a member that has seen a newer epoch.
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
    close_at_most_s: float = 0.0
    serves_s: float | None = None
    fenced: bool = False
    ready: set[InstanceId] = field(default_factory=set)
    told: set[InstanceId] = field(default_factory=set)
    released: set[InstanceId] = field(default_factory=set)

    @property
    def leader(self) -> InstanceId:
        """Return the member that takes the group's requests."""
        return self.members[0]

    def enter(self, phase: GroupPhase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since_s = now_s


__all__ = ["SPANNING", "GroupPhase", "GroupRecord"]
