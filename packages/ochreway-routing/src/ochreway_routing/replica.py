# SPDX-License-Identifier: Apache-2.0
"""One entry's view of one replica."""

from dataclasses import dataclass, field

from ochreway_core.ids import NO_EPOCH, Epoch, GroupId, HallId, Incarnation
from ochreway_core.messages.membership import LoadReport
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_routing.ejection import Ejection
from ochreway_routing.prefixindex import PrefixIndex

NEVER_S = -1.0e9


@dataclass(slots=True)
class SentAttempt:
    """Hold the load that an attempt adds to a replica."""

    sequence: int
    sent_s: float
    prefill_tokens: float


@dataclass(slots=True)
class ReplicaView:
    """Combine a replica's delayed load reports with what this entry sent it since."""

    group: GroupId
    target: str
    leader: Peer
    hall: HallId = HallId("")
    epoch: Epoch = NO_EPOCH
    incarnation: Incarnation = Incarnation(0)
    slots: int = 1
    gate: Reason = Reason.NO_GROUP
    leaving: bool = False
    adapters: frozenset[str] = frozenset()
    legacy_percent: int = 0
    in_flight: int = 0
    queued: int = 0
    backlog_s: float = 0.0
    next_s: float = 0.0
    reported_s: float = NEVER_S
    opened_s: float = NEVER_S
    reopens_s: float = NEVER_S
    backoff_reason: Reason = Reason.BACKOFF
    """Why the replica accepts nothing until ``reopens_s``."""
    slowness: float = 1.0
    unreported: dict[str, SentAttempt] = field(default_factory=dict)
    """Attempts of this entry that the last report does not include yet, oldest first."""
    unreported_tokens: float = 0.0
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    ejection: Ejection = field(default_factory=Ejection)

    def on_load_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report."""
        if report.incarnation != self.incarnation:
            self.prefixes.clear()
        if report.gate is Reason.NONE and self.gate is not Reason.NONE:
            self.opened_s = now_s
        self.epoch = report.epoch
        self.incarnation = report.incarnation
        self.gate = report.gate
        self.reopens_s = now_s + report.reopens_in_s if report.reopens_in_s else NEVER_S
        self.backoff_reason = report.gate
        self.in_flight = report.in_flight
        self.queued = report.queued
        self.backlog_s = report.backlog_s
        self.next_s = report.next_s
        self._remove_reported(report.received)
        self.slots = report.slots
        self.reported_s = now_s
        self.prefixes.add(report.cached, now_s)
        self.prefixes.remove(report.evicted)

    def add_attempt(self, attempt: str, sent: SentAttempt) -> None:
        """Count an attempt until a report includes it or it ends."""
        self.unreported[attempt] = sent
        self.unreported_tokens += sent.prefill_tokens

    def remove_attempt(self, attempt: str) -> None:
        """Stop counting an attempt."""
        sent = self.unreported.pop(attempt, None)
        if sent is not None:
            self.unreported_tokens -= sent.prefill_tokens

    def _remove_reported(self, received: int) -> None:
        while self.unreported:
            attempt, oldest = next(iter(self.unreported.items()))
            if oldest.sequence > received:
                return
            self.remove_attempt(attempt)

    def staleness_s(self, now_s: float) -> float:
        """Return the minimum age of the last report's content.

        It is that of this entry's oldest attempt that the report does not include, which needs
        no clock that both ends share.
        """
        for oldest in self.unreported.values():
            return now_s - min(oldest.sent_s, self.reported_s)
        return now_s - self.reported_s

    def back_off(self, until_s: float, reason: Reason = Reason.BACKOFF) -> None:
        """Send nothing until a time, as the target requested it or accepts nothing."""
        if until_s > self.reopens_s:
            self.reopens_s, self.backoff_reason = until_s, reason

    def backoff_s(self, now_s: float) -> float:
        """Return for how much longer to send the replica nothing."""
        return max(0.0, self.reopens_s - now_s)

    def accepts_work(self, now_s: float, max_report_age_s: float) -> bool:
        """Return whether the replica is known to accept work."""
        if self.backoff_s(now_s):
            return False
        if self.legacy_percent:
            return True
        fresh = now_s - self.reported_s <= max_report_age_s
        return fresh and self.gate is Reason.NONE and not self.leaving


__all__ = ["NEVER_S", "ReplicaView", "SentAttempt"]
