# SPDX-License-Identifier: Apache-2.0
"""How much an entry may send to one target in a while."""

from abc import ABC, abstractmethod

from ochreway_core.ids import InstanceId
from ochreway_direct.ids import ServiceName


class SendLimit(ABC):
    """Bound what this entry sends to each target."""

    @abstractmethod
    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Tell whether a target may be sent one more request now."""

    @abstractmethod
    def sent(self, instance: InstanceId, now_s: float) -> None:
        """Count a request that is sent to a target now."""


class Unlimited(SendLimit):
    """Allow everything."""

    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Tell that any request may be sent."""
        return True

    def sent(self, instance: InstanceId, now_s: float) -> None:
        """Count nothing."""


__all__ = ["SendLimit", "Unlimited"]
