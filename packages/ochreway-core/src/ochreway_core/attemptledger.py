# SPDX-License-Identifier: Apache-2.0
"""What an agent knows of each attempt it was ever sent."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.attemptid import AttemptId
from ochreway_core.messages.requests import Submit
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason

MAX_RETAINED_BYTES = 256 * 1024
RESUME_WINDOW_S = 10.0
SWEEP_INTERVAL_S = 5.0


class AttemptState(Enum):
    """Say how far an attempt has come at the agent."""

    QUEUED = "queued"
    HANDED_OVER = "handed"
    DONE = "done"


@dataclass(slots=True)
class Answer:
    """Keep what an answer holds so far, so that it can be resumed on a new link."""

    retained: bytearray = field(default_factory=bytearray)
    retained_from: int = 0
    tokens: int = 0
    status: int = 0
    content_type: str = ""
    total: int | None = None
    passed: int = 0

    @property
    def length(self) -> int:
        """Return how many bytes the target has given."""
        return self.retained_from + len(self.retained)

    def add(self, payload: bytes) -> None:
        """Keep a piece, and forget the oldest bytes beyond the bound."""
        self.retained += payload
        excess = len(self.retained) - MAX_RETAINED_BYTES
        if excess > 0:
            del self.retained[:excess]
            self.retained_from += excess

    def drop_bytes(self) -> None:
        """Forget every byte, but not how many there were."""
        self.retained_from = self.length
        self.retained.clear()

    def since(self, offset: int) -> bytes | None:
        """Return what follows the offset, or ``None`` when that is not kept any more."""
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
    """Remember attempts until nobody may ask for them again."""

    def __init__(self) -> None:
        self._records: dict[AttemptId, AttemptRecord] = {}
        self._resumable: deque[tuple[float, AttemptRecord]] = deque()
        self._next_sweep_s = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt: AttemptId) -> AttemptRecord | None:
        """Return what is known of the attempt."""
        return self._records.get(attempt)

    def add(self, attempt: AttemptId, record: AttemptRecord) -> None:
        """Remember a new attempt."""
        self._records[attempt] = record

    def expire(self, now_s: float) -> None:
        """Drop the answers of attempts that ended a while ago, and later the attempts."""
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
        """Keep a whole answer for as long as its entry may ask for it again."""
        self._resumable.append((now_s + RESUME_WINDOW_S, record))


__all__ = ["MAX_RETAINED_BYTES", "Answer", "AttemptLedger", "AttemptRecord", "AttemptState"]
