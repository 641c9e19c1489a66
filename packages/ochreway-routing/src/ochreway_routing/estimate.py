# SPDX-License-Identifier: Apache-2.0
"""Estimates of a replica's load and of its time to first token."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ochreway_routing.prefix import BLOCK_TOKENS
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.tuning import Tuning

REPORT_HALF_LIFE_S = 0.5
"""Age at which a report has half its weight; the replicas' average has the rest."""


@dataclass(frozen=True, slots=True)
class Load:
    """Hold the work that is ahead of a request at a replica."""

    backlog_s: float
    request_count: float


def average_load(replicas: Sequence[ReplicaView]) -> Load:
    """Return the average of what the replicas reported."""
    count = max(len(replicas), 1)
    backlog_s = 0.0
    busy = 0.0
    for replica in replicas:
        backlog_s += replica.backlog_s
        busy += replica.in_flight + replica.queued
    return Load(backlog_s / count, busy / count)


def expected_load(replica: ReplicaView, average: Load, tuning: Tuning, now_s: float) -> Load:
    """Return a replica's load: as reported, weighted by age, plus what was sent since.

    With old reports all replicas look alike except for this entry's own work, so that entries do
    not all send to the one that was idle a while ago.
    """
    trust = math.exp2(-replica.staleness_s(now_s) / REPORT_HALF_LIFE_S)
    reported = replica.in_flight + replica.queued
    own_s = replica.unreported_tokens * tuning.prefill_s_per_token
    return Load(
        average.backlog_s + trust * (replica.backlog_s - average.backlog_s) + own_s,
        average.request_count
        + trust * (reported - average.request_count)
        + len(replica.unreported),
    )


def expected_prefill_tokens(query: RouteQuery, replica: ReplicaView, now_s: float) -> float:
    """Return the prompt's tokens minus those expected to be cached."""
    cached = replica.prefixes.expected_blocks(query.blocks, now_s) * BLOCK_TOKENS
    uncached = query.prompt_tokens - cached
    return uncached if uncached > 1.0 else 1.0


def expected_queue_s(replica: ReplicaView, load: Load, tuning: Tuning) -> float:
    """Return how long the work ahead is expected to take."""
    excess = load.request_count + 1 - replica.slots
    if excess <= 0:
        return load.backlog_s
    return load.backlog_s + excess * slot_turnover_s(replica, tuning)


def slot_turnover_s(replica: ReplicaView, tuning: Tuning) -> float:
    """Return the expected interval at which one of the replica's slots becomes free."""
    typical_answer_tokens = 128
    return typical_answer_tokens * tuning.decode_s_per_token / max(replica.slots, 1)


def slow_start_factor(replica: ReplicaView, tuning: Tuning, now_s: float) -> float:
    """Return the factor on the cost of a replica that opened or returned recently."""
    available_since_s = max(replica.opened_s, replica.ejection.returned_s)
    if now_s - available_since_s >= tuning.slow_start_s:
        return 1.0
    age = max((now_s - available_since_s) / tuning.slow_start_s, 0.0)
    return 1.0 + 1.5 * (1.0 - age)


def expected_first_token_s(
    query: RouteQuery,
    replica: ReplicaView,
    average: Load,
    tuning: Tuning,
    hall: str,
    now_s: float,
    prefill_weight: float = 1.0,
) -> float:
    """Return the request's expected time to first token at the replica."""
    prefill_s = expected_prefill_tokens(query, replica, now_s) * tuning.prefill_s_per_token
    load = expected_load(replica, average, tuning, now_s)
    queue_s = expected_queue_s(replica, load, tuning)
    load_s = prefill_s * replica.slowness * prefill_weight + queue_s
    hall_s = 0.0 if replica.hall == hall else tuning.other_hall_s
    lacks_adapter = bool(query.adapter) and query.adapter not in replica.adapters
    adapter_s = tuning.missing_adapter_s if lacks_adapter else 0.0
    return load_s * slow_start_factor(replica, tuning, now_s) + hall_s + adapter_s


def rounded_retry_after_s(wait_s: float) -> float:
    """Return a wait of at most 60 s rounded up to whole seconds, as HTTP requires."""
    return float(max(1, math.ceil(min(wait_s, 60.0))))


__all__ = [
    "Load",
    "average_load",
    "expected_first_token_s",
    "expected_load",
    "expected_prefill_tokens",
    "expected_queue_s",
    "rounded_retry_after_s",
    "slot_turnover_s",
    "slow_start_factor",
]
