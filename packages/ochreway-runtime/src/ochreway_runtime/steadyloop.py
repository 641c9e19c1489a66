# SPDX-License-Identifier: Apache-2.0
"""An event loop whose time is that of the steady clock."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from ochreway_runtime import steadyclock

T = TypeVar("T")


class SteadyLoop(asyncio.SelectorEventLoop):
    """Count suspensions in every age and every timer of a process.

    After one, what fell due meanwhile runs once the wait under way is over: at the latest after a
    tick of the timer, and at once when anything comes in. What is read from the clock is right from
    the first moment on.
    """

    def __init__(self, clock: Callable[[], float] = steadyclock.now_s) -> None:
        super().__init__()
        self._read_clock = clock

    def time(self) -> float:
        """Return the time, in seconds."""
        return self._read_clock()


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a process's main task under such a loop."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        return runner.run(work)


__all__ = ["SteadyLoop", "run"]
