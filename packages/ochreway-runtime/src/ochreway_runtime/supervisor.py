# SPDX-License-Identifier: Apache-2.0
"""Supervision of a process's tasks and callbacks, so that none of them ends unnoticed."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.repeats import RepeatedFault

RESTART_DELAY_S = 0.2
"""Pause before a service task that ended is started again."""

P = ParamSpec("P")
Work = Coroutine[Any, Any, None]


class Supervisor:
    """Run tasks and callbacks; log and count each error, and start service tasks again.

    A service task runs for as long as the process does. Other tasks end by themselves, and
    callbacks are called again with the next event.
    """

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._metrics = metrics
        self._fault = RepeatedFault(log, "internal_error")
        self._tasks: set[asyncio.Task[None]] = set()

    def report(self, name: str, error: BaseException) -> None:
        """Log and count an error that nothing handled."""
        self._metrics.count(f"internal_error.{name}")
        frames = traceback.extract_tb(error.__traceback__)
        where = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
        cause = f"{name}: {type(error).__name__}: {error}"
        self._fault.log_occurrence(cause, asyncio.get_running_loop().time(), where=where)

    def guard(self, name: str, call: Callable[P, None]) -> Callable[P, None]:
        """Return a callback that reports its errors in place of raising them."""

        def guarded(*arguments: P.args, **named: P.kwargs) -> None:
            try:
                call(*arguments, **named)
            except Exception as error:
                self.report(name, error)

        return guarded

    def spawn(self, work: Work) -> asyncio.Task[None]:
        """Run a task until it ends or the process stops; report the error that ends it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep(self, name: str, start: Callable[[], Work]) -> asyncio.Task[None]:
        """Run a service task; whenever it ends, report that and start it again."""
        return self.spawn(self._run_service(name, start))

    def cancel_all(self) -> None:
        """Cancel all tasks, as the process stops."""
        for task in list(self._tasks):
            task.cancel()

    def watch_loop(self) -> None:
        """Report errors of callbacks and tasks that are not supervised."""
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)

    async def _run_service(self, name: str, start: Callable[[], Work]) -> None:
        while True:
            try:
                await start()
            except Exception as error:
                self.report(name, error)
            else:
                self.report(name, RuntimeError("ended"))
            await asyncio.sleep(RESTART_DELAY_S)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.report(_name_of(task), error)

    def _on_loop_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception") or RuntimeError(context.get("message", ""))
        self.report("loop", error)


def _name_of(task: asyncio.Task[None]) -> str:
    coroutine = task.get_coro()
    return getattr(coroutine, "__name__", "task").strip("_")


__all__ = ["RESTART_DELAY_S", "Supervisor"]
