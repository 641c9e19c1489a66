# SPDX-License-Identifier: Apache-2.0
"""Event loop whose time is that of the steady clock."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from ochreway_runtime import steadyclock

T = TypeVar("T")


class SteadyLoop(asyncio.SelectorEventLoop):
    """Event loop whose ages and timers include suspensions of the instance.

    Callbacks that became due during a suspension run when the current wait of the loop ends: at the
    latest after a tick of the timer, and at once if any input arrives. Times read from the clock
    are correct immediately.
    """

    def __init__(self, clock: Callable[[], float] = steadyclock.now_s) -> None:
        super().__init__()
        self._read_clock = clock

    def time(self) -> float:
        """Return the time in seconds."""
        return self._read_clock()


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a process's main task on a ``SteadyLoop``."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        return runner.run(work)


__all__ = ["SteadyLoop", "run"]
