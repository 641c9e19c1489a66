# SPDX-License-Identifier: Apache-2.0
"""Reassembly of an answer from frames that may be late, duplicated or out of order."""

from dataclasses import dataclass, field

from ochreway_core.messages.requests import Frame

MAX_HELD_FRAMES = 256
"""Bound on the frames kept that arrived early; further ones are dropped."""


@dataclass(slots=True)
class Reassembly:
    """Release each byte of an answer once and in order."""

    received: int = 0
    total: int | None = None
    _held: dict[int, Frame] = field(default_factory=dict)

    def add(self, frame: Frame) -> list[Frame]:
        """Return the frames that can be passed on now, without bytes passed on before."""
        if frame.total is not None:
            self.total = frame.total
        if frame.offset > self.received:
            self._hold(frame)
            return []
        ready = []
        next_frame: Frame | None = frame
        while next_frame is not None:
            unseen = _without_received(next_frame, self.received)
            if unseen is not None:
                ready.append(unseen)
                self.received += len(unseen.payload)
            next_frame = self._next_held()
        return ready

    def _hold(self, frame: Frame) -> None:
        """Keep a frame that arrived early; of those with one offset the longest is kept."""
        known = self._held.get(frame.offset)
        if known is None and len(self._held) >= MAX_HELD_FRAMES:
            return
        if known is None or len(known.payload) < len(frame.payload):
            self._held[frame.offset] = frame

    def _next_held(self) -> Frame | None:
        offset = min(self._held, default=self.received + 1)
        return self._held.pop(offset) if offset <= self.received else None

    @property
    def is_complete(self) -> bool:
        """Return whether every byte of the stated total has been passed on."""
        return self.total is not None and self.received == self.total


def _without_received(frame: Frame, offset: int) -> Frame | None:
    skipped = offset - frame.offset
    if skipped == 0 and frame.payload:
        return frame
    payload = frame.payload[skipped:]
    if not payload:
        return None
    return Frame(frame.attempt, offset, payload, 0, frame.status, frame.content_type, frame.total)


__all__ = ["MAX_HELD_FRAMES", "Reassembly"]
