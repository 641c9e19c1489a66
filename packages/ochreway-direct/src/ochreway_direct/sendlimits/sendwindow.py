# SPDX-License-Identifier: Apache-2.0
"""Attempts at one target that may have been written within the last second."""

from ochreway_direct.relay.attempt import Attempt

WINDOW_S = 1.1
"""How long an attempt counts after it was written: the second of the limit and a margin.

A write is recorded some iterations of the event loop before or after the bytes are sent.
"""


class SendWindow:
    """Count attempts from the choice of their target until a window after they were written."""

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []

    def add(self, attempt: Attempt) -> None:
        """Count an attempt from now on."""
        self._attempts.append(attempt)

    def count(self, now_s: float, window_s: float = WINDOW_S) -> int:
        """Return how many attempts count now."""
        self._attempts = [
            counted for counted in self._attempts if _remaining_s(counted, now_s, window_s) > 0.0
        ]
        return len(self._attempts)

    def free_in_s(self, share: int, now_s: float, window_s: float = WINDOW_S) -> float:
        """Return how soon fewer attempts than a share count, if none is added."""
        excess = self.count(now_s, window_s) - share
        if excess < 0:
            return 0.0
        return sorted(_remaining_s(counted, now_s, window_s) for counted in self._attempts)[excess]


def _remaining_s(attempt: Attempt, now_s: float, window_s: float) -> float:
    return window_s if attempt.written_s is None else attempt.written_s + window_s - now_s


__all__ = ["WINDOW_S", "SendWindow"]
