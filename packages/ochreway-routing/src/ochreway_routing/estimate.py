# SPDX-License-Identifier: Apache-2.0
"""How long a replica is expected to take for a first token."""

import math

from ochreway_routing.prefix import BLOCK_TOKENS
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.tuning import Tuning

REPORT_LAG_S = 0.05


def expected_prefill_tokens(query: RouteQuery, replica: ReplicaView, now_s: float) -> float:
    """Return the prompt's tokens less those expected to be cached."""
    cached = replica.prefixes.expected_blocks(query.blocks, now_s) * BLOCK_TOKENS
    return max(query.prompt_tokens - cached, 1.0)


def expected_queue_s(replica: ReplicaView, tuning: Tuning) -> float:
    """Return how long what is ahead is expected to take.

    The lagged report is corrected by what this entry has sent since.
    """
    unreported = replica.unreported(REPORT_LAG_S)
    tokens_ahead = replica.queued_tokens + sum(sent.prefill_tokens for sent in unreported)
    busy = replica.in_flight + replica.queued + len(unreported)
    over = max(0.0, busy + 1 - replica.slots)
    slot_wait_s = over * slot_turn_s(replica, tuning)
    return tokens_ahead * tuning.prefill_s_per_token + slot_wait_s


def slot_turn_s(replica: ReplicaView, tuning: Tuning) -> float:
    """Return how often one of the replica's slots is expected to come free."""
    typical_answer_tokens = 128
    return typical_answer_tokens * tuning.decode_s_per_token / max(replica.slots, 1)


def slow_start_factor(replica: ReplicaView, tuning: Tuning, now_s: float) -> float:
    """Return how much more a replica that has just come back is charged."""
    back_s = max(replica.opened_s, replica.ejection.returned_s)
    age = (now_s - back_s) / tuning.slow_start_s
    return 1.0 if age >= 1.0 else 1.0 + 1.5 * (1.0 - max(age, 0.0))


def expected_first_token_s(
    query: RouteQuery, replica: ReplicaView, tuning: Tuning, hall: str, now_s: float
) -> float:
    """Return the time to first token expected at the replica, for this request."""
    prefill_s = expected_prefill_tokens(query, replica, now_s) * tuning.prefill_s_per_token
    load_s = (prefill_s + expected_queue_s(replica, tuning)) * replica.slowness
    distance_s = 0.0 if replica.hall == hall else tuning.other_hall_s
    lacks_adapter = bool(query.adapter) and query.adapter not in replica.adapters
    adapter_s = tuning.missing_adapter_s if lacks_adapter else 0.0
    return load_s * slow_start_factor(replica, tuning, now_s) + distance_s + adapter_s


def honest_retry_after_s(wait_s: float) -> float:
    """Return when to come back, rounded up to whole seconds as HTTP wants it."""
    return float(max(1, math.ceil(min(wait_s, 60.0))))


__all__ = [
    "expected_first_token_s",
    "expected_prefill_tokens",
    "expected_queue_s",
    "honest_retry_after_s",
    "slot_turn_s",
    "slow_start_factor",
]
