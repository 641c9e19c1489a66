# SPDX-License-Identifier: Apache-2.0
"""A target as the platform lists it."""

from dataclasses import dataclass

from ochreway_core.ids import HallId, InstanceId
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ServiceName


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Hold where a target is, whether it is leaving, and its engine's state if it has one.

    ``cold_s`` is for how much longer it said, when it wrote its entry, that it stays cold.
    ``born_ms`` is the time of day of its start, which names its life, where it says so.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    hall: HallId
    leaving: bool = False
    slots: int = 1
    engine: EngineState | None = None
    cold_s: float = 0.0
    born_ms: int | None = None


__all__ = ["ListedTarget"]
