# SPDX-License-Identifier: Apache-2.0
"""The queue of one model, with the tasks that wait in it."""

import asyncio
import math
from dataclasses import dataclass, field

from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.queuedcall import QueuedCall
from ochreway_direct.queueing.waitingcall import WaitingCall


@dataclass(slots=True, eq=False)
class ModelQueue:
    """Hold a model's queue, its waiting tasks, its timer, and when forecasts were last checked."""

    service: ServiceName
    model: ModelName
    slots: int
    queue: CallQueue
    calls: dict[WaitingCall, QueuedCall] = field(default_factory=dict)
    checked_s: float = -math.inf
    timer: asyncio.TimerHandle | None = None


__all__ = ["ModelQueue"]
