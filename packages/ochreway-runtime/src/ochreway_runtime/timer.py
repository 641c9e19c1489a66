# SPDX-License-Identifier: Apache-2.0
"""Timer service: a single periodic tick that components subscribe to."""

import asyncio
from collections.abc import Callable

from reactivex import Observable
from reactivex import operators as ops
from reactivex.abc import DisposableBase
from reactivex.subject import Subject


class TimerService:
    """Emit the loop's time once per tick; each subscriber chooses its own period."""

    def __init__(self, tick_s: float) -> None:
        self._tick_s = tick_s
        self._ticks: Subject[float] = Subject()

    @property
    def ticks(self) -> Observable[float]:
        """Return the stream of ticks."""
        return self._ticks

    def every(self, period_s: float, call: Callable[[float], None]) -> DisposableBase:
        """Call a function at the first tick after each period."""
        due_s = [0.0]

        def is_due(now_s: float) -> bool:
            if now_s < due_s[0]:
                return False
            due_s[0] = now_s + period_s
            return True

        return self._ticks.pipe(ops.filter(is_due)).subscribe(call)

    async def run(self) -> None:
        """Tick until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._ticks.on_next(loop.time())
            await asyncio.sleep(self._tick_s)


__all__ = ["TimerService"]
