# SPDX-License-Identifier: Apache-2.0
"""Order addressed to one engine."""

from dataclasses import dataclass

from ochreway_core.ids import InstanceId
from ochreway_direct.order import Order


@dataclass(frozen=True, slots=True)
class Assignment:
    """Order and the engine that has to carry it out.

    An engine that has taken another number of orders than ``orders_taken`` rejects it; None sets no
    condition.
    """

    instance: InstanceId
    address: str
    order: Order
    orders_taken: int | None = None


__all__ = ["Assignment"]
