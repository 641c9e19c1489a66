# SPDX-License-Identifier: Apache-2.0
"""An agent's record of the attempts that it received."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.attemptid import AttemptId
from ochreway_core.messages.requests import Submit
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason

MAX_RETAINED_BYTES = 256 * 1024
"""Bound on the bytes of one answer that are kept for resumption."""
RESUME_WINDOW_S = 10.0
"""For how long a complete answer is kept, as its entry may resume it."""
SWEEP_INTERVAL_S = 5.0
"""Interval at which expired attempts are removed."""


class AttemptState(Enum):
    """State of an attempt at the agent."""

    QUEUED = "queued"
    HANDED_OVER = "handed"
    DONE = "done"


@dataclass(slots=True)
class Answer:
    """Keep the latest part of an answer, so that it can be resumed on a new link."""

    retained: bytearray = field(default_factory=bytearray)
    retained_from: int = 0
    tokens: int = 0
    status: int = 0
    content_type: str = ""
    total: int | None = None
    passed: int = 0

    @property
    def length(self) -> int:
        """Return how many bytes the target has sent."""
        return self.retained_from + len(self.retained)

    def add(self, payload: bytes) -> None:
        """Append a piece and drop the oldest bytes beyond the bound."""
        self.retained += payload
        excess = len(self.retained) - MAX_RETAINED_BYTES
        if excess > 0:
            del self.retained[:excess]
            self.retained_from += excess

    def drop_bytes(self) -> None:
        """Drop all bytes, but keep their count."""
        self.retained_from = self.length
        self.retained.clear()

    def since(self, offset: int) -> bytes | None:
        """Return the bytes from the offset on, or ``None`` if they are no longer retained."""
        if not self.retained_from <= offset <= self.length:
            return None
        return bytes(self.retained[offset - self.retained_from :])


@dataclass(slots=True)
class AttemptRecord:
    """Hold one attempt's state and answer."""

    state: AttemptState
    forget_after_s: float
    submit: Submit | None = None
    entry: Peer | None = None
    deadline_s: float = 0.0
    outcome: Outcome = Outcome.NOT_RUN
    reason: Reason = Reason.NONE
    answer: Answer = field(default_factory=Answer)


class AttemptLedger:
    """Keep attempts until no entry may ask for them again."""

    def __init__(self) -> None:
        self._records: dict[AttemptId, AttemptRecord] = {}
        self._resumable: deque[tuple[float, AttemptRecord]] = deque()
        self._next_sweep_s = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt: AttemptId) -> AttemptRecord | None:
        """Return the record of an attempt, or ``None`` without one."""
        return self._records.get(attempt)

    def add(self, attempt: AttemptId, record: AttemptRecord) -> None:
        """Add the record of a new attempt."""
        self._records[attempt] = record

    def expire(self, now_s: float) -> None:
        """Drop answers whose resume window has passed, and attempts that have expired."""
        while self._resumable and self._resumable[0][0] < now_s:
            self._resumable.popleft()[1].answer.drop_bytes()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + SWEEP_INTERVAL_S
        expired = [
            attempt
            for attempt, record in self._records.items()
            if record.state is AttemptState.DONE and record.forget_after_s < now_s
        ]
        for attempt in expired:
            del self._records[attempt]

    def retain_answer(self, record: AttemptRecord, now_s: float) -> None:
        """Keep a complete answer for the resume window."""
        self._resumable.append((now_s + RESUME_WINDOW_S, record))


__all__ = ["MAX_RETAINED_BYTES", "Answer", "AttemptLedger", "AttemptRecord", "AttemptState"]
