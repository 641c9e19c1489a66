# SPDX-License-Identifier: Apache-2.0
"""Queries and orders to the engines of groups."""

from abc import ABC, abstractmethod

from ochreway_core.ids import InstanceId
from ochreway_direct.enginestate import EngineState
from ochreway_direct.order import Order, OrderOutcome


class EngineControl(ABC):
    """Query the state of engines and send them orders."""

    @abstractmethod
    async def state(self, address: str, instance: InstanceId, timeout_s: float) -> EngineState:
        """Return the state that an engine reports; an answer by another instance is an error.

        Raises:
            TargetUnreachable: if nothing listens at the address, or another instance does.
            TargetBroke: if no valid answer arrives in time.
            TargetTurnedAway: if the engine requests a backoff.
        """

    @abstractmethod
    async def order(
        self,
        address: str,
        instance: InstanceId,
        order: Order,
        timeout_s: float,
        orders_taken: int | None = None,
    ) -> OrderOutcome:
        """Send an order to an instance; another one at its address rejects it.

        Whenever the order is carried out, the instance rejects it as a conflict if it has taken
        another number of orders than ``orders_taken``.

        Raises:
            TargetTurnedAway: if the engine rejected the order and requests a backoff.
        """


__all__ = ["EngineControl"]
