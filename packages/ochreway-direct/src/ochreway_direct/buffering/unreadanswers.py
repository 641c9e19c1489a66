# SPDX-License-Identifier: Apache-2.0
"""What one caller has not read yet."""

from collections import deque
from dataclasses import dataclass, field

from ochreway_core.ids import OrganisationId

MARK_INTERVAL_S = 0.1
"""Resolution of the age of unread bytes; a mark for each event could take more than the event."""


@dataclass(slots=True, eq=False)
class UnreadAnswers:
    """Track the bytes that are held for one caller, by size and age.

    Attributes:
        request: id of the last request whose answer is held.
        held_bytes: bytes that the caller has not read, as of the last update.
        moved_s: when the caller last read some of them, or began to have some.
    """

    organisation: OrganisationId | None
    request: str
    held_bytes: int = 0
    moved_s: float = 0.0
    _read_bytes: int = 0
    _marks: deque[tuple[int, float]] = field(default_factory=deque)

    @property
    def oldest_s(self) -> float:
        """Return since when the oldest unread byte is held."""
        return self._marks[0][1] if self._marks else self.moved_s

    def update(self, added_bytes: int, held_bytes: int, now_s: float) -> None:
        """Record that bytes were added, after which ``held_bytes`` are unread."""
        read_bytes = max(0, self.held_bytes + added_bytes - held_bytes)
        if read_bytes or not self.held_bytes:
            self.moved_s = now_s
        grew = held_bytes + read_bytes > self.held_bytes
        self._read_bytes += read_bytes
        self.held_bytes = held_bytes
        if grew:
            self._mark(self._read_bytes + held_bytes, now_s)
        while self._marks and self._marks[0][0] <= self._read_bytes:
            self._marks.popleft()

    def _mark(self, end_bytes: int, now_s: float) -> None:
        if self._marks and now_s - self._marks[-1][1] < MARK_INTERVAL_S:
            now_s = self._marks.pop()[1]
        self._marks.append((end_bytes, now_s))


__all__ = ["UnreadAnswers"]
