# SPDX-License-Identifier: Apache-2.0
"""Tuning parameters of the queue of waiting calls."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueTuning:
    """Hold the bounds and time constants of the queue.

    A promised place is kept until ``promise_kept_s`` after its time, and given to a caller that
    returns up to ``returned_early_s`` before it. A timer that is late by more than ``stall_lag_s``
    shows that the process stalled, after which no call is refused for ``stall_grace_s``.

    An answer that is late by up to ``gain_objectives - 1`` further objectives is still worth
    something to its caller. ``min_returned_share`` of the longest return time allowed is the
    earliest that a caller without a promised place is told to return. A free place is left to more
    urgent calls elsewhere for at most ``max_hold_s``: a heartbeat interval and its delay.
    """

    max_length: int = 512
    gain_objectives: float = 2.0
    promise_kept_s: float = 1.0
    returned_early_s: float = 0.02
    min_returned_share: float = 0.7
    stall_grace_s: float = 0.1
    stall_lag_s: float = 0.05
    max_hold_s: float = 0.35


__all__ = ["QueueTuning"]
