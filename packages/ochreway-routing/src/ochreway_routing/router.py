# SPDX-License-Identifier: Apache-2.0
"""Choice of a replica for each request, as made by one entry."""

import random
from collections.abc import Iterable

from result import Err, Ok, Result

import ochreway_routing.policies  # noqa: F401  fills the registry
from ochreway_core.ids import GroupId
from ochreway_core.messages.membership import LoadReport
from ochreway_core.reason import Reason
from ochreway_core.rendezvous import weight
from ochreway_routing.estimate import (
    average_load,
    expected_first_token_s,
    expected_prefill_tokens,
    rounded_retry_after_s,
)
from ochreway_routing.policy import POLICIES
from ochreway_routing.query import RouteQuery
from ochreway_routing.refused import Refused
from ochreway_routing.replica import ReplicaView, SentAttempt
from ochreway_routing.servicemeter import MAX_EXPECTED_TOKENS
from ochreway_routing.tuning import Tuning

DEFAULT_POLICY = "cost"
CLOSED_RETRY_DELAY_S = 2.0
"""Retry delay stated when no replica accepts work and the time of reopening is unknown."""


class Router:
    """Keep this entry's view of the replicas and choose among them."""

    def __init__(
        self,
        hall: str,
        rng: random.Random,
        tuning: Tuning | None = None,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        self.tuning = tuning or Tuning()
        self.hall = hall
        self.replicas: dict[GroupId, ReplicaView] = {}
        self._by_target: dict[str, list[ReplicaView]] = {}
        self._policy = POLICIES[policy](self.tuning, hall, rng)

    def set_replicas(self, replicas: Iterable[ReplicaView]) -> None:
        """Replace the set of groups, keeping the state of those that remain."""
        updated = {each.group: each for each in replicas}
        for group, replica in updated.items():
            known = self.replicas.get(group)
            if known is not None and known.leader == replica.leader:
                known.target, known.hall = replica.target, replica.hall
                known.leaving, known.adapters = replica.leaving, replica.adapters
                known.legacy_percent = replica.legacy_percent
                updated[group] = known
        self.replicas = updated
        self._by_target = {}
        for replica in updated.values():
            self._by_target.setdefault(replica.target, []).append(replica)

    def on_load_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report."""
        replica = self.replicas.get(report.group)
        if replica is not None:
            replica.on_load_report(report, now_s)

    def choose(
        self, query: RouteQuery, tried: frozenset[GroupId], now_s: float
    ) -> Result[ReplicaView, Refused]:
        """Choose a replica that was not tried yet, or return why there is none."""
        known = self._by_target.get(query.target, [])
        if not known:
            return Err(Refused(Reason.NO_GROUP, CLOSED_RETRY_DELAY_S))
        accepting = [
            each for each in known if each.accepts_work(now_s, self.tuning.max_report_age_s)
        ]
        untried = [each for each in accepting if each.group not in tried]
        untried = self._apply_legacy_share(query, untried)
        if not untried:
            return Err(_refusal(known, now_s))
        chosen = self._policy.choose(query, self._without_ejected(untried, known, now_s), now_s)
        # Only the leader knows its queue's order; refuse only what cannot meet the deadline anyway.
        prefill_s = expected_prefill_tokens(query, chosen, now_s) * self.tuning.prefill_s_per_token
        wait_s = chosen.next_s + prefill_s + self._decode_s(query)
        left_s = query.deadline_s - now_s
        if wait_s > left_s:
            return Err(Refused(Reason.DEADLINE_TOO_SHORT, rounded_retry_after_s(wait_s - left_s)))
        return Ok(chosen)

    def expected_first_token_s(
        self, query: RouteQuery, replica: ReplicaView, now_s: float
    ) -> float:
        """Return the request's expected time to first token at a replica."""
        average = average_load(self._by_target.get(query.target, []))
        return expected_first_token_s(query, replica, average, self.tuning, self.hall, now_s)

    def _decode_s(self, query: RouteQuery) -> float:
        tuning = self.tuning
        tokens = min(query.max_tokens * tuning.answer_share, MAX_EXPECTED_TOKENS)
        return tokens * tuning.decode_s_per_token

    def _apply_legacy_share(
        self, query: RouteQuery, replicas: list[ReplicaView]
    ) -> list[ReplicaView]:
        """Keep the legacy targets for their share of the requests, else the groups."""
        percent = max((each.legacy_percent for each in replicas), default=0)
        to_legacy = percent > 0 and weight("legacy", query.share_key) % 100 < percent
        return [each for each in replicas if bool(each.legacy_percent) == to_legacy]

    def _without_ejected(
        self, untried: list[ReplicaView], known: list[ReplicaView], now_s: float
    ) -> list[ReplicaView]:
        remaining = [each for each in untried if not each.ejection.is_ejected(now_s)]
        ejected = sum(each.ejection.is_ejected(now_s) for each in known)
        if remaining and ejected <= len(known) * self.tuning.max_ejected_share:
            return remaining
        return untried

    def record_sent(
        self, replica: ReplicaView, attempt: str, sequence: int, query: RouteQuery, now_s: float
    ) -> None:
        """Record that an attempt was sent to a replica."""
        tokens = expected_prefill_tokens(query, replica, now_s)
        replica.add_attempt(attempt, SentAttempt(sequence, now_s, tokens))
        replica.prefixes.add(query.blocks, now_s)

    def record_first_token(self, replica: ReplicaView, expected_s: float, took_s: float) -> None:
        """Update the replica's slowness from one time to first token."""
        ratio = min(max(took_s / max(expected_s, 0.02), 0.5), 20.0)
        weight = self.tuning.slowness_weight
        replica.slowness = max(1.0, (1.0 - weight) * replica.slowness + weight * ratio)

    def record_answer(self, group: GroupId, attempt: str) -> None:
        """Record that an attempt was answered."""
        replica = self.replicas.get(group)
        if replica is not None:
            replica.remove_attempt(attempt)
            replica.ejection.record_success()

    def back_off(self, group: GroupId, until_s: float, reason: Reason = Reason.BACKOFF) -> None:
        """Stop choosing a replica until a time, as its target requested."""
        replica = self.replicas.get(group)
        if replica is not None:
            replica.back_off(until_s, reason)

    def record_failure(
        self, group: GroupId, attempt: str, replica_at_fault: bool, now_s: float
    ) -> bool:
        """Record that an attempt failed; return whether that ejects its replica.

        Args:
            group: the replica's group.
            attempt: the attempt that ended.
            fault: whether the replica caused it, rather than its load or a planned stop.
            now_s: the current time.
        """
        replica = self.replicas.get(group)
        if replica is None:
            return False
        replica.remove_attempt(attempt)
        if not replica_at_fault:
            return False
        tuning = self.tuning
        return replica.ejection.record_failure(
            now_s, tuning.ejection_failures, tuning.ejection_s, tuning.ejection_max_s
        )


def _refusal(known: list[ReplicaView], now_s: float) -> Refused:
    """Return the refusal when no replica accepts work, with the actual wait where known."""
    backing_off = [each for each in known if each.backoff_s(now_s)]
    if backing_off:
        first = min(backing_off, key=lambda each: each.backoff_s(now_s))
        return Refused(first.backoff_reason, first.backoff_s(now_s))
    reasons = [each.gate for each in known if each.gate is not Reason.NONE]
    return Refused(reasons[0] if reasons else Reason.GROUP_INCOMPLETE, CLOSED_RETRY_DELAY_S)


__all__ = ["DEFAULT_POLICY", "Router"]
