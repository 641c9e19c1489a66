# SPDX-License-Identifier: Apache-2.0
"""Durations of the protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Hold the protocol's durations.

    A leader counts a grant for ``grant_ttl_s`` minus the fraction ``clock_margin``, which covers
    the difference in rate between two monotonic clocks. A drained hall may continue to serve for
    ``hall_drain_s`` while replacements load elsewhere, which takes engines some 10 to 20 s.
    """

    tick_s: float = 0.1
    heartbeat_s: float = 0.8
    grant_ttl_s: float = 2.5
    clock_margin: float = 0.05
    view_poll_s: float = 1.0
    lease_poll_s: float = 2.0
    lease_renew_s: float = 2.0
    lease_s: float = 6.0
    probe_s: float = 1.0
    member_lost_s: float = 4.0
    load_report_s: float = 1.0
    idle_report_s: float = 2.5
    load_fresh_s: float = 6.0
    peer_silent_s: float = 6.0
    settle_resend_s: float = 0.4
    settle_give_up_s: float = 4.0
    claim_timeout_s: float = 1.0
    key_memory_s: float = 120.0
    table_timeout_s: float = 3.0
    backoff_max_s: float = 5.0
    list_poll_s: float = 1.0
    standby_after_s: float = 1.0
    leave_notice_s: float = 3.0
    leader_silent_s: float = 60.0
    hall_drain_s: float = 20.0

    @property
    def leader_grant_ttl_s(self) -> float:
        """Return for how long a leader counts a grant."""
        return self.grant_ttl_s * (1.0 - self.clock_margin)
