# SPDX-License-Identifier: Apache-2.0
"""The numbers that routing starts from."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Hold the costs and bounds of routing decisions."""

    prefill_s_per_token: float = 0.00012
    decode_s_per_token: float = 0.02
    other_hall_s: float = 0.002
    report_fresh_s: float = 2.0
    missing_adapter_s: float = 1.0
    ejection_failures: int = 4
    ejection_s: float = 5.0
    ejection_max_s: float = 60.0
    ejection_share_at_most: float = 0.5
    slow_start_s: float = 10.0
    slowness_weight: float = 0.2


__all__ = ["Tuning"]
