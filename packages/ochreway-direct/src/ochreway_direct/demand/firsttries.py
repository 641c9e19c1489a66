# SPDX-License-Identifier: Apache-2.0
"""Count of each caller's work once, however often the caller returns."""

from ochreway_core.ids import Fingerprint
from ochreway_direct.demand.countedwork import CountedWork
from ochreway_direct.demand.decayingsum import DECAY_S, DecayingSum
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.demand.offeredwork import OfferedWork
from ochreway_direct.demand.recentrequests import RecentRequests
from ochreway_direct.demand.refusalqueue import MAX_REFUSALS, RefusalQueue
from ochreway_direct.demand.refusals import Refusals
from ochreway_direct.ids import ModelName
from ochreway_runtime.metrics import Metrics


class FirstTries:
    """Record the work of first tries in a meter, but not that of returns of refused callers.

    A request is a return if its fingerprint was refused as not run, here or at an entry in
    contact, within the rest of its deadline and at most ``DECAY_S``. If it was counted before its
    refusal elsewhere became known, its work is taken back.
    """

    def __init__(self, meter: DemandMeter, metrics: Metrics, started_s: float) -> None:
        """Start without requests; ``started_s`` is when this entry began to measure."""
        self.meter = meter
        self._metrics = metrics
        self._started_s = started_s
        self._recent = RecentRequests()
        self._queue = RefusalQueue()
        self._tries = DecayingSum()
        self._returns = DecayingSum()

    def record_arrival(
        self, fingerprint: Fingerprint, model: ModelName, work_s: float, now_s: float
    ) -> None:
        """Record an admitted request and its work, in seconds of a group."""
        self._tries.add(1.0, now_s)
        self._recent.record_arrival(fingerprint, now_s)
        if self._recent.take_return(fingerprint, now_s):
            self._record_return(now_s)
            return
        self._metrics.count("demand.first")
        self.meter.record_work(model, work_s, now_s)
        self._recent.record_counted(fingerprint, CountedWork(model, work_s, now_s))

    def record_refusal(self, fingerprint: Fingerprint, left_s: float, now_s: float) -> None:
        """Record that a request was refused as not run, ``left_s`` before its deadline."""
        self._recent.record_refusal(fingerprint, now_s)
        if left_s <= 0.0:
            return
        self._recent.expect_return(fingerprint, now_s + left_s, now_s)
        self._count_dropped(self._queue.add(fingerprint, min(left_s, DECAY_S), now_s))

    def take_refusals(self, now_s: float, contacts: int) -> Refusals:
        """Return the refusals to report with the heartbeats to a number of entries."""
        if not contacts:
            self._queue.clear()
        refusals, dropped = self._queue.take(now_s)
        self._count_dropped(dropped)
        return refusals

    def on_refusals(self, refusals: Refusals, now_s: float) -> None:
        """Apply the refusals of another entry.

        Work that was counted here later than a refusal is taken back. Otherwise the next request
        with its fingerprint is a return. Where several callers send the same request, a refusal
        would leave one of them uncounted at every entry, so it is not applied.
        """
        for fingerprint, age_s, left_s in refusals.items()[:MAX_REFUSALS]:
            if self._recent.has_several_callers(fingerprint):
                continue
            refused_s = now_s - age_s
            counted = self._recent.take_counted(fingerprint, refused_s)
            if counted is not None:
                self.meter.withdraw_work(counted.model, counted.work_s, counted.counted_s, now_s)
                self._record_return(now_s)
            elif refused_s + left_s > now_s:
                self._recent.expect_return(fingerprint, refused_s + left_s, now_s)

    def offered(self, now_s: float) -> OfferedWork:
        """Return the work of first tries, and for how long it was measured."""
        return OfferedWork(self.meter.offered(now_s), self.measured_s(now_s))

    def measured_s(self, now_s: float) -> float:
        """Return for how long this entry has measured."""
        return now_s - self._started_s

    def gauges(self, now_s: float) -> dict[str, float]:
        """Return the share of recent tries that were returns."""
        tries = self._tries.at(now_s)
        share = min(1.0, self._returns.at(now_s) / tries) if tries > 0.0 else 0.0
        return {"demand_returned_share": share}

    def _record_return(self, now_s: float) -> None:
        self._returns.add(1.0, now_s)
        self._metrics.count("demand.returned")

    def _count_dropped(self, dropped: int) -> None:
        if dropped:
            self._metrics.count("demand.returns_dropped", dropped)


__all__ = ["FirstTries"]
