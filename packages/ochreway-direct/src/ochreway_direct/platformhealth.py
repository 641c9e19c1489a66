# SPDX-License-Identifier: Apache-2.0
"""Since when the platform's store has been answering this entry."""

NEVER_S = -1.0e9
MIN_OUTAGE_S = 0.4
"""How long answers have to be missing to count as an outage; one reset connection takes less."""


class PlatformHealth:
    """Note answers and failures of the store, and when the last outage ended."""

    def __init__(self) -> None:
        self._failing_since_s: float | None = None
        self.regained_s = NEVER_S

    @property
    def failing(self) -> bool:
        """Tell whether the newest call failed."""
        return self._failing_since_s is not None

    def on_failure(self, due_s: float) -> None:
        """Note a call that failed; its answer was due at a time."""
        if self._failing_since_s is None:
            self._failing_since_s = due_s

    def on_answer(self, polled_s: float, now_s: float) -> None:
        """Note an answer; it ends an outage only if it was asked for after that began."""
        since_s = self._failing_since_s
        if since_s is None or polled_s < since_s:
            return
        self._failing_since_s = None
        if now_s - since_s >= MIN_OUTAGE_S:
            self.regained_s = now_s


__all__ = ["MIN_OUTAGE_S", "PlatformHealth"]
