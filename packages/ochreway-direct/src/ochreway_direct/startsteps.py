# SPDX-License-Identifier: Apache-2.0
"""Timing of the steps of an entry's start, once its code is loaded."""

from collections.abc import Callable, Mapping

from ochreway_runtime.logs import EventLog

StepCheck = Callable[[float], bool]


class StartSteps:
    """Log the time of each step since set-up, in ms, once all steps were reached."""

    def __init__(self, steps: Mapping[str, StepCheck], began_s: float, log: EventLog) -> None:
        self._steps = dict(steps)
        self._began_s = began_s
        self._log = log
        self._reached_ms: dict[str, int] = {}

    def check(self, now_s: float) -> None:
        """Record the steps that were reached by now."""
        if not self._steps:
            return
        for name, reached in list(self._steps.items()):
            if reached(now_s):
                del self._steps[name]
                self._reached_ms[f"{name}_ms"] = round((now_s - self._began_s) * 1000)
        if not self._steps:
            self._log.event("start_steps", **self._reached_ms)


__all__ = ["StartSteps"]
