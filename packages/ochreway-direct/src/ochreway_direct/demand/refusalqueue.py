# SPDX-License-Identifier: Apache-2.0
"""Refused requests that are still to be reported to other entries."""

from collections import deque
from dataclasses import dataclass

from ochreway_core.ids import Fingerprint
from ochreway_direct.demand.refusals import NO_REFUSALS, Refusals

MAX_REFUSALS = 128
"""Maximum number of refusals in one heartbeat: some 2.5 KB."""
MAX_WAIT_S = 1.0
"""Age at which refusals that did not fit are dropped; most callers have returned by then."""
MAX_WAITING = 512
"""Maximum number of refusals kept: more than heartbeats can report within ``MAX_WAIT_S``."""


@dataclass(frozen=True, slots=True)
class _QueuedRefusal:
    fingerprint: Fingerprint
    refused_s: float
    left_s: float


class RefusalQueue:
    """Collect refusals for the next heartbeats, oldest first."""

    def __init__(self) -> None:
        self._queued: deque[_QueuedRefusal] = deque()

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, fingerprint: Fingerprint, left_s: float, now_s: float) -> int:
        """Add a refusal whose caller may return for ``left_s``; return how many were dropped."""
        self._queued.append(_QueuedRefusal(fingerprint, now_s, left_s))
        return self._drop_outdated(now_s)

    def take(self, now_s: float) -> tuple[Refusals, int]:
        """Return the refusals for a heartbeat, and how many older ones were dropped."""
        dropped = self._drop_outdated(now_s)
        taken = [self._queued.popleft() for _ in range(min(MAX_REFUSALS, len(self._queued)))]
        if not taken:
            return NO_REFUSALS, dropped
        refusals = Refusals(
            tuple(bytes.fromhex(each.fingerprint) for each in taken),
            tuple(round(1000 * (now_s - each.refused_s)) for each in taken),
            tuple(round(1000 * each.left_s) for each in taken),
        )
        return refusals, dropped

    def clear(self) -> None:
        """Forget all refusals, as there is no entry to report them to."""
        self._queued.clear()

    def _drop_outdated(self, now_s: float) -> int:
        dropped = 0
        while self._queued and (
            len(self._queued) > MAX_WAITING or now_s - self._queued[0].refused_s > MAX_WAIT_S
        ):
            self._queued.popleft()
            dropped += 1
        return dropped


__all__ = ["MAX_REFUSALS", "MAX_WAITING", "MAX_WAIT_S", "RefusalQueue"]
