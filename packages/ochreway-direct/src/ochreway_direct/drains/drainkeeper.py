# SPDX-License-Identifier: Apache-2.0
"""Updates of the drained halls, their propagation, and their effect on this entry."""

import asyncio
from collections.abc import Callable

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId
from ochreway_direct.drains.halldrains import HallDrains
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.messages import DrainNews
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


class DrainKeeper:
    """Close drained halls in time, and have their groups replaced as soon as a drain is known."""

    def __init__(
        self,
        drains: HallDrains,
        fleet: Fleet,
        on_drained_halls: Callable[[frozenset[HallId]], None],
        on_changed: Callable[[], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start with the given parts.

        ``on_drained_halls`` is called with the halls that planning leaves out; ``on_changed`` is
        called after that, to announce the change to other entries at once.
        """
        self._drains = drains
        self._fleet = fleet
        self._on_drained_halls = on_drained_halls
        self._on_changed = on_changed
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._closed: frozenset[HallId] = frozenset()

    @property
    def known(self) -> bool:
        """Return whether this entry has read which halls are drained, if any."""
        return self._drains.known

    def on_store_reading(self, reading: DrainedHalls, requested_s: float) -> None:
        """Apply a reading of the store that was requested at ``requested_s``."""
        before = self._drains.draining()
        if self._drains.on_store_reading(reading, requested_s):
            self._apply_change(before)

    def on_drain_news(self, news: DrainNews, echo_s: float | None) -> None:
        """Apply another entry's reading, sent at ``echo_s`` on this entry's clock at the earliest.

        Its ages therefore count back from then; without an echo they bound nothing.
        """
        before = self._drains.draining()
        ages_s = news.unseen_age_s if echo_s is not None else {}
        unseen_s = {hall: (echo_s or 0.0) - age_s for hall, age_s in ages_s.items()}
        now_s = self._loop.time()
        left_s = {hall: self._drains.left_s(hall, now_s) for hall in before}
        if self._drains.on_entry_reading(news.drained, unseen_s):
            self._apply_change(before)
        elif any(self._drains.left_s(hall, now_s) > left_s[hall] for hall in before):
            self._reopen_extended(now_s)

    def _reopen_extended(self, now_s: float) -> None:
        """Reopen halls whose bound was extended, and close each when it ends."""
        for hall in self._drains.draining():
            self._schedule_close(hall, now_s)
        self.tick(now_s)

    def current_news(self, now_s: float) -> DrainNews:
        """Return the message for other entries."""
        return DrainNews(self._drains.latest, self._drains.unseen_age_s(now_s))

    def tick(self, now_s: float) -> None:
        """Close halls whose time is over, and open restored ones."""
        closed = self._drains.closed(now_s)
        if closed == self._closed:
            return
        version = self._drains.latest.version
        for hall in sorted(closed - self._closed):
            self._metrics.count("hall.closed")
            self._log.event("hall_closed", hall=hall, version=version)
        self._closed = closed
        self._fleet.set_closed_halls(closed)

    def _on_close_due(self) -> None:
        self.tick(self._loop.time())

    def gauges(self) -> dict[str, float]:
        """Return the number of drained halls and of those that are closed."""
        draining = self._drains.draining()
        return {"halls_draining": float(len(draining)), "halls_closed": float(len(self._closed))}

    def _schedule_close(self, hall: HallId, now_s: float) -> None:
        """Schedule the closing of a hall at the end of its time.

        After a pause of this process, the next tick may come only after the first requests.
        """
        self._loop.call_at(now_s + self._drains.left_s(hall, now_s), self._on_close_due)

    def _apply_change(self, before: frozenset[HallId]) -> None:
        """Log and apply a change of the drained halls."""
        now_s = self._loop.time()
        version = self._drains.latest.version
        draining = self._drains.draining()
        for hall in sorted(draining - before):
            left_s = self._drains.left_s(hall, now_s)
            self._metrics.count("hall.draining")
            self._log.event("hall_draining", hall=hall, version=version, left_s=round(left_s, 3))
            self._schedule_close(hall, now_s)
        for hall in sorted(before - draining):
            self._metrics.count("hall.restored")
            self._log.event("hall_restored", hall=hall, version=version)
        self._on_drained_halls(draining)
        self.tick(now_s)
        self._on_changed()


__all__ = ["DrainKeeper"]
