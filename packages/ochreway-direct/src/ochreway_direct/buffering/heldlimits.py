# SPDX-License-Identifier: Apache-2.0
"""Limits on what an entry holds for callers."""

from dataclasses import dataclass

REQUEST_SHARE = 0.75
"""Share of the sum that bodies may take when a request is admitted; answers under way have the
rest."""
ANSWER_BYTES = 1024 * 1024
"""How far an answer is read ahead of its caller at most."""
ANSWER_SHARE = 0.125
"""Largest share of the sum that one answer may be read ahead by, so that one caller cannot use it
up."""
MIN_ANSWER_BYTES = 64 * 1024
"""Lower limit of what an answer may be read ahead by: the buffer of a connection without limits."""


@dataclass(frozen=True, slots=True)
class HeldLimits:
    """Hold the limits in bytes, and how long a caller may read nothing.

    Attributes:
        total_bytes: limit on the sum of bodies and unread answers.
        slow_reader_s: how long a caller may read nothing of what is held for it.
        min_behind_s: age of its oldest unread byte from which an answer may be ended to make room
            for the body of a request.
    """

    total_bytes: int
    slow_reader_s: float = 2.5
    min_behind_s: float = 0.5

    @property
    def request_bytes(self) -> int:
        """Return up to which sum of bodies another request body is admitted."""
        return int(REQUEST_SHARE * self.total_bytes)

    @property
    def answer_bytes(self) -> int:
        """Return how far one answer may be read ahead of its caller."""
        share_bytes = int(ANSWER_SHARE * self.total_bytes)
        return max(MIN_ANSWER_BYTES, min(ANSWER_BYTES, share_bytes))


__all__ = ["HeldLimits"]
