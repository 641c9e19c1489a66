# SPDX-License-Identifier: Apache-2.0
"""Parameters of routing."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Hold the costs and bounds of routing decisions.

    ``prefill_weight`` charges prefill more than its own time: it also delays the requests behind
    it, and duplicates a conversation's cache on a second replica. ``pressure_weight`` adds to it
    for each second of average backlog, as more requests are delayed then.
    """

    prefill_s_per_token: float = 0.00012
    decode_s_per_token: float = 0.02
    answer_share: float = 0.5
    prefill_weight: float = 3.0
    pressure_weight: float = 20.0
    other_hall_s: float = 0.002
    max_report_age_s: float = 6.0
    missing_adapter_s: float = 1.0
    ejection_failures: int = 4
    ejection_s: float = 5.0
    ejection_max_s: float = 60.0
    max_ejected_share: float = 0.5
    slow_start_s: float = 10.0
    slowness_weight: float = 0.2


__all__ = ["Tuning"]
