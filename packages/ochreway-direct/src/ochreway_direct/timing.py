# SPDX-License-Identifier: Apache-2.0
"""Intervals and timeouts of direct entries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectTiming:
    """Hold the intervals and timeouts of all parts except the relay.

    Where entries form cells, a few readers keep polls of ``configuration_read_wait_s`` open for
    all. The others poll only once their newest proof is ``configuration_max_proof_age_s`` old, or
    a newer version was announced, which they check every ``configuration_check_interval_s``. A
    proof is up to two polls old at the reader, and a second older where it is forwarded to.

    ``configuration_wait_s`` is how long one poll for a newer configuration stays open; two of them
    have to fit into the time for which keys are trusted. After a version that took long to decode
    and apply, the next poll follows after ``configuration_rest_share`` times as long, at most
    ``configuration_rest_s``, so that versions in quick succession leave most of the processor to
    requests; versions that are superseded meanwhile are never decoded.
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
