# SPDX-License-Identifier: Apache-2.0
"""Order addressed to one engine."""

from dataclasses import dataclass

from ochreway_core.ids import InstanceId
from ochreway_direct.order import Order


@dataclass(frozen=True, slots=True)
class Assignment:
    """Order and the engine that has to carry it out."""

    instance: InstanceId
    address: str
    order: Order


__all__ = ["Assignment"]
