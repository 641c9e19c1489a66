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

    def remove(self, waiting: WaitingCall) -> None:
        """Remove a call that does not wait any more."""
        self.calls.pop(waiting, None)
        self.queue.leave(waiting)

    def drop_ended(self) -> None:
        """Remove calls whose task was cancelled and has not run since."""
        for queued in list(self.calls.values()):
            if queued.future.done():
                self.remove(queued.waiting)


__all__ = ["ModelQueue"]
