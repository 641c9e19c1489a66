# SPDX-License-Identifier: Apache-2.0
"""A target under virtual time, which remembers the truth about what it ran."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.attemptid import AttemptId
from ochreway_core.chunk import Chunk
from ochreway_core.messages import Submit
from ochreway_core.targetkind import TargetKind
from ochreway_core.targetnotice import TargetNotice
from ochreway_core.targetorder import TargetOrder
from ochreway_standins.engine import REWIRE_SHARE
from ochreway_standins.soak.clock import Clock

PIECES = (1, 12)
PIECE_S = (0.01, 0.3)
BACK_S = (2.0, 4.0)
"""How long a target takes to come back after its process ended."""
FATAL = b"fatal"
"""With what the body of a request begins that ends whatever runs it."""

OnChunk = Callable[[AttemptId, Chunk], None]
OnFailed = Callable[[AttemptId, bool, bool], None]
"""Told of an attempt that may have begun or not, and whether its target ended under it."""


def expected_answer(request: str, pieces: int) -> bytes:
    """Return the answer that a request must get: nobody else's looks like it."""
    return b"".join(f"{request}/{index};".encode() for index in range(pieces))


@dataclass(slots=True)
class Execution:
    """Record that a target began to run an attempt."""

    request: str
    attempt: AttemptId
    began_s: float
    body: bytes = b""


@dataclass(slots=True)
class SimTarget:
    """Load what it is ordered to and answer in pieces."""

    clock: Clock
    random: random.Random
    load_s: float
    kind: TargetKind
    checks_orders: bool
    executions: list[Execution]
    epoch: int = 0
    artifact: str = ""
    loaded_s: float = 1.0e9
    incarnation: int = 0
    broken: bool = False
    back_s: float = 0.0
    busy_until_s: float = 0.0
    asks_s: float = 0.0
    leaving: bool = False
    limit_per_s: float | None = None
    running: dict[AttemptId, int] = field(default_factory=dict)

    @property
    def loaded(self) -> bool:
        """Tell whether the target can run what it was ordered to."""
        return self.kind is TargetKind.SERVICE or self.clock.now_s >= self.loaded_s

    def order(self, order: TargetOrder) -> None:
        """Load what is ordered; a target that checks orders refuses an older epoch."""
        if self.checks_orders and order.epoch < self.epoch:
            return
        if (order.epoch, order.artifact) == (self.epoch, self.artifact):
            return
        has_weights = self.loaded and order.artifact == self.artifact
        self.epoch, self.artifact = order.epoch, order.artifact
        load_s = self.load_s * REWIRE_SHARE if has_weights else self.load_s
        self.loaded_s = self.clock.now_s + load_s

    def crash(self) -> None:
        """Lose everything."""
        self.incarnation += 1
        self.epoch, self.artifact, self.loaded_s = 0, "", 1.0e9
        self.running.clear()
        self.busy_until_s, self.leaving, self.limit_per_s = 0.0, False, None

    @property
    def down(self) -> bool:
        """Tell whether the target's process has ended and is not back yet."""
        return self.clock.now_s < self.back_s

    def turn_away(self, lasts_s: float, asks_s: float) -> None:
        """Turn away all that comes for a while, and ask each time to be left alone for a time."""
        self.busy_until_s, self.asks_s = self.clock.now_s + lasts_s, asks_s

    @property
    def busy(self) -> bool:
        """Tell whether the target turns away what comes now."""
        return self.clock.now_s < self.busy_until_s

    @property
    def notice(self) -> TargetNotice:
        """Return what the target says of itself in an answer now."""
        return TargetNotice(self.asks_s if self.busy else None, self.leaving, self.limit_per_s)

    def end(self) -> None:
        """End as a process does; it comes back and knows nothing."""
        self.crash()
        self.back_s = self.clock.now_s + self.random.uniform(*BACK_S)

    def run(self, submit: Submit, on_chunk: OnChunk, on_failed: OnFailed) -> None:
        """Begin an attempt."""
        attempt = submit.attempt
        if self.down:
            self.clock.after(0.001, lambda: on_failed(attempt, False, False))
            return
        self.executions.append(Execution(submit.request, attempt, self.clock.now_s, submit.body))
        if self.broken and self.random.random() < 0.5:
            self.clock.after(0.01, lambda: on_failed(attempt, True, False))
            return
        self.running[attempt] = self.incarnation
        if submit.body.startswith(FATAL):
            self._run_fatal(attempt, on_failed)
        else:
            self._piece(submit, 0, on_chunk, on_failed)

    def _run_fatal(self, attempt: AttemptId, on_failed: OnFailed) -> None:
        incarnation = self.incarnation

        def ends() -> None:
            if self.running.get(attempt) == incarnation == self.incarnation:
                self.end()
            on_failed(attempt, True, self.incarnation != incarnation)

        self.clock.after(self.random.uniform(*PIECE_S), ends)

    def _piece(self, submit: Submit, index: int, on_chunk: OnChunk, on_failed: OnFailed) -> None:
        attempt, incarnation = submit.attempt, self.incarnation
        pieces = submit.max_tokens

        def give() -> None:
            if self.running.get(attempt) != incarnation or self.incarnation != incarnation:
                on_failed(attempt, True, self.incarnation != incarnation)
                return
            payload = f"{submit.request}/{index};".encode()
            last = index + 1 >= pieces
            on_chunk(attempt, Chunk(payload, 1, 200, "text/plain", last))
            if last:
                self.running.pop(attempt, None)
            else:
                self._piece(submit, index + 1, on_chunk, on_failed)

        self.clock.after(self.random.uniform(*PIECE_S), give)

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt."""
        self.running.pop(attempt, None)


__all__ = ["FATAL", "PIECES", "Execution", "SimTarget", "expected_answer"]
