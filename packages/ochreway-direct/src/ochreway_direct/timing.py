# SPDX-License-Identifier: Apache-2.0
"""The durations that direct entries work by."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectTiming:
    """Hold every duration of the parts that run beside the relay.

    Where entries stand in cells, a few keep questions of ``configuration_read_wait_s`` open for
    all; the others ask only once their newest proof is ``configuration_follow_s`` old, or
    a newer version was heard of, which they look for each ``configuration_follow_gap_s``. A proof
    is up to twice the question's time old at the reader and a second more where it is passed on.

    ``configuration_wait_s`` is how long one question for a newer configuration stays open; two of
    them have to fit into the time for which keys are trusted. After a version that took long to
    decode and apply, the next is asked for only after ``configuration_rest_share`` times as long,
    at most ``configuration_rest_s``, so that versions in quick succession leave most of the
    processor to requests; what is overtaken meanwhile is never decoded.
    """

    tick_s: float = 0.05
    heartbeat_s: float = 0.3
    peer_silent_s: float = 1.0
    configuration_wait_s: float = 1.2
    configuration_read_wait_s: float = 0.8
    configuration_max_proof_age_s: float = 2.7
    configuration_check_interval_s: float = 0.1
    lease_observe_interval_s: float = 0.3
    configuration_poll_gap_s: float = 0.05
    configuration_rest_share: float = 8.0
    configuration_rest_s: float = 0.6
    list_wait_s: float = 0.5
    list_gap_s: float = 0.35
    fleet_update_s: float = 0.5
    lease_renew_s: float = 2.0
    lease_stagger_s: float = 0.25
    lease_isolated_s: float = 4.0
    lease_member_wait_s: float = 3.0
    lease_unseen_timeout_s: float = 3.0
    probe_timeout_s: float = 0.25
    order_timeout_s: float = 0.8
    call_timeout_s: float = 1.5
    backoff_base_s: float = 0.1
    backoff_max_s: float = 1.0
    min_pause_s: float = 0.4


__all__ = ["DirectTiming"]
