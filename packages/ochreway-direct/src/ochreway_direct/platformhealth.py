# SPDX-License-Identifier: Apache-2.0
"""Availability of the platform's store, as seen by this entry."""

NEVER_S = -1.0e9
MIN_OUTAGE_S = 0.4
"""Minimum time without answers that counts as an outage; a single reset connection takes less."""


class PlatformHealth:
    """Track answers and failures of the store, and when the last outage ended."""

    def __init__(self) -> None:
        self._failing_since_s: float | None = None
        self.regained_s = NEVER_S

    @property
    def failing(self) -> bool:
        """Return whether the latest call failed."""
        return self._failing_since_s is not None

    def on_failure(self, due_s: float) -> None:
        """Record a failed call, whose answer was due at ``due_s``."""
        if self._failing_since_s is None:
            self._failing_since_s = due_s

    def on_answer(self, polled_s: float, now_s: float) -> None:
        """Record an answer; it ends an outage only if its call began after the outage did."""
        since_s = self._failing_since_s
        if since_s is None or polled_s < since_s:
            return
        self._failing_since_s = None
        if now_s - since_s >= MIN_OUTAGE_S:
            self.regained_s = now_s


__all__ = ["MIN_OUTAGE_S", "PlatformHealth"]
