# SPDX-License-Identifier: Apache-2.0
"""The bounds that the relay works under."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayTuning:
    """Hold durations, shares of an objective and the retry budget.

    A call waits for a place for ``patience_share`` of its objective and is then refused with
    the time after which a group is expected to serve again, at most ``retry_after_share`` of
    what the caller has left. An answer that has begun may queue where new calls may not, as it
    cannot be refused. A caller gives a stream up that is silent for the longest of the
    three ``caller_silence`` bounds.
    """

    sends_more: int = 2
    least_left_s: float = 0.05
    place_poll_s: float = 0.01
    patience_share: float = 0.1
    queued_at_most: int = 3
    resuming_queued_at_most: int = 12
    resume_patience_s: float = 1.0
    retry_after_s: float = 0.3
    elsewhere_after_s: float = 0.05
    stale_after_s: float = 1.0
    regroup_after_s: float = 2.2
    first_answer_objectives: float = 2.5
    first_answer_least_s: float = 0.8
    caller_silence_s: float = 2.0
    caller_silence_objectives: float = 4.0
    caller_silence_pauses: float = 8.0
    retry_after_share: float = 0.3
    stall_pauses: float = 3.0
    stall_least_s: float = 0.7


__all__ = ["RelayTuning"]
