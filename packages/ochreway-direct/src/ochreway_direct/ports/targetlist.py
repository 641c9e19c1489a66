# SPDX-License-Identifier: Apache-2.0
"""Source of the list of targets."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from ochreway_core.ids import InstanceId
from ochreway_direct.ids import ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget


@dataclass(frozen=True, slots=True)
class TargetReading:
    """Hold all listed targets as of a moment not before ``polled_s``.

    ``unreadable`` maps list entries whose newest content could not be decoded to the cause. Such a
    target is listed as leaving if it was known before, and is omitted otherwise.
    ``newer_services`` names the other services whose newer entries repeat a target's address.
    """

    targets: tuple[ListedTarget, ...]
    polled_s: float
    unreadable: Mapping[str, str] = field(default_factory=dict)
    newer_services: Mapping[InstanceId, frozenset[ServiceName]] = field(default_factory=dict)


class TargetList(ABC):
    """Read the platform's list of targets, which lags behind reality."""

    @abstractmethod
    async def poll(self, wait_s: float) -> TargetReading:
        """Return the targets listed, at once if the list changed since the last call.

        Args:
            wait_s: how long to wait for a change, in seconds.

        Raises:
            ListUnavailable: if the list cannot be read.
        """


__all__ = ["TargetList", "TargetReading"]
