# SPDX-License-Identifier: Apache-2.0
"""How much an entry may send to one target in a while."""

from abc import ABC, abstractmethod

from ochreway_core.ids import InstanceId
from ochreway_direct.ids import ServiceName
from ochreway_direct.relay.attempt import Attempt


class SendLimit(ABC):
    """Bound what this entry sends to each target."""

    @abstractmethod
    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Tell whether a target may be sent one more request now."""

    @abstractmethod
    def wait_s(self, service: ServiceName, instance: InstanceId, now_s: float) -> float:
        """Return how long it takes until a target may be sent one more request; 0 if it may now."""

    @abstractmethod
    def record_sent(self, attempt: Attempt) -> None:
        """Count a request that is about to be sent to its target."""


class Unlimited(SendLimit):
    """Allow everything."""

    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Tell that any request may be sent."""
        return True

    def wait_s(self, service: ServiceName, instance: InstanceId, now_s: float) -> float:
        """Return that there is nothing to wait for."""
        return 0.0

    def record_sent(self, attempt: Attempt) -> None:
        """Count nothing."""


__all__ = ["SendLimit", "Unlimited"]
