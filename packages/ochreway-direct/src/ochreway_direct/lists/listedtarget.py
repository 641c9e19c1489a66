# SPDX-License-Identifier: Apache-2.0
"""A target as the platform lists it."""

from dataclasses import dataclass

from ochreway_core.ids import HallId, InstanceId
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ServiceName


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Hold a target's address and hall, whether it is leaving, and the state of its engine, if any.

    ``cold_s`` is how much longer the target stays cold, as of when it wrote its list entry.
    ``born_ms`` is the wall-clock time of its start, which identifies its incarnation, if given.
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
