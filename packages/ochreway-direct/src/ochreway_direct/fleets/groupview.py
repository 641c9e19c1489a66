# SPDX-License-Identifier: Apache-2.0
"""Routing information of a group."""

from dataclasses import dataclass

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.ids import ModelName, ServiceName


@dataclass(frozen=True, slots=True)
class GroupView:
    """Hold what an entry needs to send requests to a serving group.

    ``halls`` are the halls of all members; the group depends on each of them. ``born_ms`` is the
    start time of the leader's process, which identifies its incarnation, if known.
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
