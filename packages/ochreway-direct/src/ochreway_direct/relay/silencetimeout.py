# SPDX-License-Identifier: Apache-2.0
"""How long a target may be silent before its call goes to another one."""

import asyncio
import math
from typing import Protocol

RECHECK_INTERVAL_S = 0.02
"""How often it is checked whether a call can move that should."""


class FailoverPort(Protocol):
    """Where the call of one attempt may go on."""

    def take_over(self) -> bool:
        """Return whether another target has begun to answer the call; ask one if there is none."""

    def is_target_gone(self) -> bool:
        """Return whether nothing listens any more at the target's address."""

    def cancel(self) -> None:
        """Have no other target take the call over, as this one goes on."""


class SilenceTimeout:
    """End an attempt whose target is silent or lost, once another target answers its call.

    Until then the target may go on, so nothing is ended that nobody else takes over. Given up all
    the same are a lost target that is gone, and one that has not begun to answer by ``give_up_s``.
    """

    def __init__(self, timeout: asyncio.Timeout, failover: FailoverPort, give_up_s: float) -> None:
        """Watch the attempt that runs under a timeout."""
        self._loop = asyncio.get_running_loop()
        self._timeout = timeout
        self._failover = failover
        self._give_up_s = give_up_s
        self._timer: asyncio.TimerHandle | None = None
        self._silent_from_s = 0.0
        self._asks_others = False
        self._is_done = False
        self._is_lost = False
        self.ended = False

    def wait_until(self, silent_from_s: float) -> None:
        """Take the target for silent from a time on."""
        self._silent_from_s = silent_from_s
        if self._timer is None or self._timer.when() > silent_from_s:
            self._schedule(silent_from_s)

    def on_answer(self, silent_from_s: float) -> None:
        """Record that a part of the answer arrived."""
        self._give_up_s = math.inf
        self.wait_until(silent_from_s)

    def on_lost(self) -> None:
        """Record that the view has lost the target's group."""
        self._is_lost = True
        self._schedule(self._loop.time())

    def cancel(self) -> None:
        """Stop watching, as the attempt has ended or its answer is complete."""
        self._is_done = True
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, at_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at_s, self._check)

    def _check(self) -> None:
        now_s = self._loop.time()
        if self._is_done or self._timeout.expired():
            return
        if not self._is_lost and now_s < self._silent_from_s:
            self._recover()
            self._schedule(self._silent_from_s)
        elif self._should_end(now_s):
            self.ended = True
            self._timeout.reschedule(now_s)
        else:
            self._schedule(now_s + RECHECK_INTERVAL_S)

    def _should_end(self, now_s: float) -> bool:
        self._asks_others = True
        if self._failover.take_over() or now_s >= self._give_up_s:
            return True
        return self._is_lost and now_s >= self._silent_from_s and self._failover.is_target_gone()

    def _recover(self) -> None:
        if self._asks_others:
            self._asks_others = False
            self._failover.cancel()


__all__ = ["RECHECK_INTERVAL_S", "SilenceTimeout"]
