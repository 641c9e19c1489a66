# SPDX-License-Identifier: Apache-2.0
"""Telling of a fault that lasts without a line for each time that it is met."""

from ochreway_runtime.logs import EventLog

REPEAT_INTERVAL_S = 10.0
"""How often a lasting fault is told again, so that a page of the log always shows it."""
MAX_CAUSES = 8
"""How many causes of one fault are told apart; a fault with more is told by time alone."""


class RepeatedFault:
    """Log a fault at once, then with a count now and then, and log its end."""

    def __init__(self, log: EventLog, name: str) -> None:
        """Log the fault as ``name`` and its end as ``name`` with ``_over`` added."""
        self._log = log
        self._name = name
        self._since_s = 0.0
        self._last_logged_s: dict[str, float] = {}
        self._repeated = 0

    def log_occurrence(self, cause: str, now_s: float, **fields: object) -> None:
        """Note the fault; a new cause is told at once."""
        self._repeated += 1
        if not self._last_logged_s:
            self._since_s = now_s
        elif not self._is_due(cause, now_s):
            return
        if len(self._last_logged_s) >= MAX_CAUSES:
            self._last_logged_s.clear()
        self._last_logged_s[cause] = now_s
        self._log.fault(self._name, cause=cause, times=self._repeated, **fields)

    def log_end(self, now_s: float, **fields: object) -> None:
        """Note that all is well."""
        if not self._last_logged_s:
            return
        lasted_s = round(now_s - self._since_s, 3)
        self._log.event(f"{self._name}_over", lasted_s=lasted_s, times=self._repeated, **fields)
        self._last_logged_s.clear()
        self._repeated = 0

    def _is_due(self, cause: str, now_s: float) -> bool:
        """Tell whether a cause is new, or was told long enough ago."""
        last_s = self._last_logged_s.get(cause)
        if last_s is None and len(self._last_logged_s) < MAX_CAUSES:
            return True
        return now_s - (last_s or max(self._last_logged_s.values())) >= REPEAT_INTERVAL_S


__all__ = ["REPEAT_INTERVAL_S", "RepeatedFault"]
