# SPDX-License-Identifier: Apache-2.0
"""Limits on what an entry sends to one target."""

from abc import ABC, abstractmethod

from ochreway_core.ids import InstanceId
from ochreway_direct.ids import ServiceName
from ochreway_direct.relay.attempt import Attempt


class SendLimit(ABC):
    """Limit the requests that this entry sends to each target."""

    @abstractmethod
    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Return whether a target may be sent another request now."""

    @abstractmethod
    def wait_s(self, service: ServiceName, instance: InstanceId, now_s: float) -> float:
        """Return how soon a target may be sent another request; 0 if it may now."""

    @abstractmethod
    def record_sent(self, attempt: Attempt) -> None:
        """Count a request that is about to be sent to its target."""


class Unlimited(SendLimit):
    """Allow every request."""

    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Return that any request may be sent."""
        return True

    def wait_s(self, service: ServiceName, instance: InstanceId, now_s: float) -> float:
        """Return that there is nothing to wait for."""
        return 0.0

    def record_sent(self, attempt: Attempt) -> None:
        """Count nothing."""


__all__ = ["SendLimit", "Unlimited"]
