# SPDX-License-Identifier: Apache-2.0
"""How long each step takes from the start of a process until it can serve."""

import time
from collections.abc import Callable, Mapping

from ochreway_runtime.logs import EventLog

Check = Callable[[float], bool]


class StartSteps:
    """Write one line once every step was reached, with the ms that each took since the start.

    The processor time that was used before the first check stands beside them: the interpreter's
    start and the imports.
    """

    def __init__(self, steps: Mapping[str, Check], began_s: float, log: EventLog) -> None:
        self._steps = dict(steps)
        self._began_s = began_s
        self._log = log
        self._prepared_s = time.process_time()
        self._reached_ms: dict[str, int] = {}

    def check(self, now_s: float) -> None:
        """Note which steps were reached by now."""
        if not self._steps:
            return
        for name, reached in list(self._steps.items()):
            if reached(now_s):
                del self._steps[name]
                self._reached_ms[f"{name}_ms"] = round((now_s - self._began_s) * 1000)
        if not self._steps:
            prepared_ms = round(self._prepared_s * 1000)
            self._log.event("start_steps", processor_ms=prepared_ms, **self._reached_ms)


__all__ = ["StartSteps"]
