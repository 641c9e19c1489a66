# SPDX-License-Identifier: Apache-2.0
"""Telling of a fault that lasts without a line for each time that it is met."""

from ochreway_runtime.logs import EventLog

TOLD_AGAIN_S = 10.0
"""How often a lasting fault is told again, so that a page of the log always shows it."""


class Repeats:
    """Log a fault at once, then with a count now and then, and log its end."""

    def __init__(self, log: EventLog, name: str) -> None:
        """Log the fault as ``name`` and its end as ``name`` with ``_over`` added."""
        self._log = log
        self._name = name
        self._cause: str | None = None
        self._since_s = 0.0
        self._told_s = 0.0
        self._repeated = 0

    def met(self, cause: str, now_s: float, **fields: object) -> None:
        """Note the fault; a new cause is told at once."""
        self._repeated += 1
        if self._cause is None:
            self._since_s = now_s
        elif cause == self._cause and now_s - self._told_s < TOLD_AGAIN_S:
            return
        self._cause = cause
        self._told_s = now_s
        self._log.fault(self._name, cause=cause, times=self._repeated, **fields)

    def over(self, now_s: float, **fields: object) -> None:
        """Note that all is well."""
        if self._cause is None:
            return
        lasted_s = round(now_s - self._since_s, 3)
        self._log.event(f"{self._name}_over", lasted_s=lasted_s, times=self._repeated, **fields)
        self._cause = None
        self._repeated = 0


__all__ = ["TOLD_AGAIN_S", "Repeats"]
