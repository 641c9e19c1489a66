# SPDX-License-Identifier: Apache-2.0
"""Tuning parameters of the relay."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayTuning:
    """Hold timeouts, limits and shares of a route's objective.

    A call waits for a target for ``max_wait_share`` of its objective. It is then refused with the
    time after which a group is expected to serve again, at most ``retry_after_share`` of the time
    that the caller has left. A call whose answer has begun may queue (``max_queued_resuming``)
    where new calls may not, as it cannot be refused. A target may be
    silent for ``first_answer_objectives`` before its answer and for ``stall_pauses`` within it
    before its call moves to another one. A stream that no target has begun to answer is refused
    after the longest of the three ``caller_silence`` bounds. An answer that is read whole may have
    ``max_answer_bytes``.
    """

    max_extra_sends: int = 2
    min_time_left_s: float = 0.05
    candidate_poll_interval_s: float = 0.01
    max_wait_share: float = 0.1
    max_queued: int = 3
    max_queued_resuming: int = 12
    resume_max_wait_s: float = 1.0
    retry_after_s: float = 0.3
    retry_after_elsewhere_s: float = 0.05
    retry_after_stale_s: float = 1.0
    retry_after_regroup_s: float = 2.2
    first_answer_objectives: float = 2.5
    min_first_answer_s: float = 0.8
    caller_silence_s: float = 2.0
    caller_silence_objectives: float = 4.0
    caller_silence_pauses: float = 8.0
    retry_after_share: float = 0.3
    stall_pauses: float = 3.0
    min_stall_s: float = 0.7
    max_answer_bytes: int = 32_000_000


__all__ = ["RelayTuning"]
