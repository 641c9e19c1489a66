# SPDX-License-Identifier: Apache-2.0
"""A group as entries route to it."""

from dataclasses import dataclass

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.ids import ModelName, ServiceName


@dataclass(frozen=True, slots=True)
class GroupView:
    """Hold what an entry needs to send requests to a group that serves.

    ``halls`` are those of all its members; a group needs each of them. ``born_ms`` names the life
    of the leader, where that is known.
    """

    group: GroupId
    epoch: Epoch
    service: ServiceName
    model: ModelName
    leader: InstanceId
    address: str
    hall: HallId
    pace: float = 1.0
    halls: tuple[HallId, ...] = ()
    born_ms: int | None = None


__all__ = ["GroupView"]
