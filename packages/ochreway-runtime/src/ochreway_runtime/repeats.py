# SPDX-License-Identifier: Apache-2.0
"""Logging of a lasting fault without a line for each occurrence."""

from ochreway_runtime.logs import EventLog

REPEAT_INTERVAL_S = 10.0
"""How often a lasting fault is logged again, so that any page of the log shows it."""
MAX_CAUSES = 8
"""Bounds the causes tracked per fault; a fault with more is logged by interval alone."""


class RepeatedFault:
    """Log a fault at once, then at intervals with a count, and log its end."""

    def __init__(self, log: EventLog, name: str) -> None:
        """Log the fault as ``name`` and its end as ``name`` with ``_over`` added."""
        self._log = log
        self._name = name
        self._since_s = 0.0
        self._last_logged_s: dict[str, float] = {}
        self._repeated = 0

    def log_occurrence(self, cause: str, now_s: float, **fields: object) -> None:
        """Count an occurrence and log it if its cause is new or the interval has passed."""
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
        """Log the end of the fault, if it had occurred."""
        if not self._last_logged_s:
            return
        lasted_s = round(now_s - self._since_s, 3)
        self._log.event(f"{self._name}_over", lasted_s=lasted_s, times=self._repeated, **fields)
        self._last_logged_s.clear()
        self._repeated = 0

    def _is_due(self, cause: str, now_s: float) -> bool:
        """Return whether a cause is new, or was last logged at least an interval ago."""
        last_s = self._last_logged_s.get(cause)
        if last_s is None and len(self._last_logged_s) < MAX_CAUSES:
            return True
        return now_s - (last_s or max(self._last_logged_s.values())) >= REPEAT_INTERVAL_S


__all__ = ["REPEAT_INTERVAL_S", "RepeatedFault"]
