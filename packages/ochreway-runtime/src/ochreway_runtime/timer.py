# SPDX-License-Identifier: Apache-2.0
"""Timer service: a single periodic tick that components subscribe to."""

import asyncio
from collections.abc import Callable

from reactivex import operators as ops
from reactivex.abc import DisposableBase
from reactivex.subject import Subject

from ochreway_runtime.supervisor import Supervisor


class TimerService:
    """Emit the loop's time once per tick; each subscriber chooses its own period.

    An error of one subscriber is reported; the others are called all the same, and the one that
    failed is called again when it is due.
    """

    def __init__(self, tick_s: float, supervisor: Supervisor) -> None:
        self._tick_s = tick_s
        self._supervisor = supervisor
        self._ticks: Subject[float] = Subject()

    def every(self, period_s: float, call: Callable[[float], None]) -> DisposableBase:
        """Call a function at the first tick after each period; 0 is each tick."""
        due_s = [0.0]
        guarded = self._supervisor.guard(_name_of(call), call)

        def is_due(now_s: float) -> bool:
            if now_s < due_s[0]:
                return False
            due_s[0] = now_s + period_s
            return True

        return self._ticks.pipe(ops.filter(is_due)).subscribe(guarded)

    async def run(self) -> None:
        """Tick until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._ticks.on_next(loop.time())
            await asyncio.sleep(self._tick_s)


def _name_of(call: Callable[[float], None]) -> str:
    return getattr(call, "__qualname__", type(call).__name__).replace(".<locals>", "")


__all__ = ["TimerService"]
