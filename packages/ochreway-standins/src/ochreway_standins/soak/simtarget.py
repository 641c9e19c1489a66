# SPDX-License-Identifier: Apache-2.0
"""A target under virtual time, which records what it ran."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.attemptid import AttemptId
from ochreway_core.chunk import Chunk
from ochreway_core.messages import Submit
from ochreway_core.request import Request
from ochreway_core.targetkind import TargetKind
from ochreway_core.targetnotice import TargetNotice
from ochreway_core.targetorder import TargetOrder
from ochreway_standins.engine import REWIRE_SHARE
from ochreway_standins.soak.clock import Clock

PIECE_COUNT_RANGE = (1, 12)
PIECE_INTERVAL_S = (0.01, 0.3)
RESTART_S = (2.0, 4.0)
"""Range of the time until a target restarts after its process has ended."""
FATAL = b"fatal"
"""Prefix of the body of a request that ends every target that runs it."""

FATAL_BLOCKS_FROM = 1 << 62
"""Block of a prompt from which on it ends every target that runs it, unless it is the last one."""

OnChunk = Callable[[AttemptId, Chunk], None]
OnFailed = Callable[[AttemptId, bool, bool], None]
"""Receives an attempt, whether it may have begun, and whether the target ended under it."""


def expected_answer(request: str, pieces: int) -> bytes:
    """Return the answer that a request must get; it is unique to the request."""
    return b"".join(f"{request}/{index};".encode() for index in range(pieces))


def fatal_cause(submit: Submit | Request) -> bytes | None:
    """Return what in a request ends its target: its body or a block of its prompt, if any."""
    if submit.body.startswith(FATAL):
        return submit.body
    fatal_blocks = (block for block in submit.blocks[:-1] if block >= FATAL_BLOCKS_FROM)
    return next((b"block %x" % block for block in fatal_blocks), None)


@dataclass(slots=True)
class Execution:
    """Start of an attempt on a target."""

    request: str
    attempt: AttemptId
    began_s: float
    body: bytes = b""


@dataclass(slots=True)
class SimTarget:
    """Load the artifacts that it is ordered to load, and answer in pieces."""

    clock: Clock
    random: random.Random
    load_s: float
    kind: TargetKind
    checks_orders: bool
    executions: list[Execution]
    epoch: int = 0
    artifact: str = ""
    loaded_at_s: float = 1.0e9
    incarnation: int = 0
    broken: bool = False
    restarted_at_s: float = 0.0
    busy_until_s: float = 0.0
    requested_backoff_s: float = 0.0
    leaving: bool = False
    limit_per_s: float | None = None
    running: dict[AttemptId, int] = field(default_factory=dict)

    @property
    def loaded(self) -> bool:
        """Return whether the target has loaded what it was ordered to."""
        return self.kind is TargetKind.SERVICE or self.clock.now_s >= self.loaded_at_s

    def order(self, order: TargetOrder) -> None:
        """Load the ordered artifact; a target that checks orders ignores an older epoch."""
        if self.checks_orders and order.epoch < self.epoch:
            return
        if (order.epoch, order.artifact) == (self.epoch, self.artifact):
            return
        has_weights = self.loaded and order.artifact == self.artifact
        self.epoch, self.artifact = order.epoch, order.artifact
        load_s = self.load_s * REWIRE_SHARE if has_weights else self.load_s
        self.loaded_at_s = self.clock.now_s + load_s

    def crash(self) -> None:
        """Lose all state and work, and begin a new incarnation."""
        self.incarnation += 1
        self.epoch, self.artifact, self.loaded_at_s = 0, "", 1.0e9
        self.running.clear()
        self.busy_until_s, self.leaving, self.limit_per_s = 0.0, False, None

    @property
    def down(self) -> bool:
        """Return whether the target's process has ended and has not restarted yet."""
        return self.clock.now_s < self.restarted_at_s

    def turn_away(self, duration_s: float, requested_backoff_s: float) -> None:
        """Refuse everything for a while, and request a backoff each time."""
        self.busy_until_s, self.requested_backoff_s = (
            self.clock.now_s + duration_s,
            requested_backoff_s,
        )

    @property
    def busy(self) -> bool:
        """Return whether the target refuses everything now."""
        return self.clock.now_s < self.busy_until_s

    @property
    def notice(self) -> TargetNotice:
        """Return the notice that the target puts into its answers now."""
        return TargetNotice(
            self.requested_backoff_s if self.busy else None, self.leaving, self.limit_per_s
        )

    def end(self) -> None:
        """End the process; it restarts later without any state."""
        self.crash()
        self.restarted_at_s = self.clock.now_s + self.random.uniform(*RESTART_S)

    def run(self, submit: Submit, on_chunk: OnChunk, on_failed: OnFailed) -> None:
        """Start an attempt."""
        attempt = submit.attempt
        if self.down:
            self.clock.after(0.001, lambda: on_failed(attempt, False, False))
            return
        self.executions.append(Execution(submit.request, attempt, self.clock.now_s, submit.body))
        if self.broken and self.random.random() < 0.5:
            self.clock.after(0.01, lambda: on_failed(attempt, True, False))
            return
        self.running[attempt] = self.incarnation
        if fatal_cause(submit) is not None:
            self._run_fatal(attempt, on_failed)
        else:
            self._schedule_piece(submit, 0, on_chunk, on_failed)

    def _run_fatal(self, attempt: AttemptId, on_failed: OnFailed) -> None:
        incarnation = self.incarnation

        def end_target() -> None:
            if self.running.get(attempt) == incarnation == self.incarnation:
                self.end()
            on_failed(attempt, True, self.incarnation != incarnation)

        self.clock.after(self.random.uniform(*PIECE_INTERVAL_S), end_target)

    def _schedule_piece(
        self, submit: Submit, index: int, on_chunk: OnChunk, on_failed: OnFailed
    ) -> None:
        attempt, incarnation = submit.attempt, self.incarnation
        pieces = submit.max_tokens

        def send_piece() -> None:
            if self.running.get(attempt) != incarnation or self.incarnation != incarnation:
                on_failed(attempt, True, self.incarnation != incarnation)
                return
            payload = f"{submit.request}/{index};".encode()
            last = index + 1 >= pieces
            on_chunk(attempt, Chunk(payload, 1, 200, "text/plain", last))
            if last:
                self.running.pop(attempt, None)
            else:
                self._schedule_piece(submit, index + 1, on_chunk, on_failed)

        self.clock.after(self.random.uniform(*PIECE_INTERVAL_S), send_piece)

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt."""
        self.running.pop(attempt, None)


__all__ = [
    "FATAL",
    "FATAL_BLOCKS_FROM",
    "PIECE_COUNT_RANGE",
    "Execution",
    "SimTarget",
    "expected_answer",
    "fatal_cause",
]
