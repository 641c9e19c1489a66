# SPDX-License-Identifier: Apache-2.0
"""Limits as heartbeats carry them: what targets named, and how entries divide it."""

from collections.abc import Callable, Sequence

from ochreway_core.ids import NodeId
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_direct.targetlimits.limitspread import LimitSpread
from ochreway_direct.targetlimits.poolnews import LimitNews, PoolNews
from ochreway_routing.targetlimits import TargetLimits
from ochreway_runtime.logs import EventLog

SMOOTHED_S = 3.0
"""Over what time the rate of requests is averaged: parts should not follow single callers."""


class LimitSharing:
    """Have limits known to all entries, and each know its part of them."""

    def __init__(
        self,
        limits: TargetLimits,
        pool: LimitPool,
        asked: Callable[[], int],
        log: EventLog,
    ) -> None:
        """Share the limits; ``asked`` counts the requests that this entry was asked for."""
        self._limits = limits
        self._pool = pool
        self._spread = LimitSpread(limits)
        self._asked = asked
        self._log = log
        self._asked_before = 0
        self._beat_s: float | None = None
        self._asked_per_s = 0.0
        self._kept_pool = False
        self._news: tuple[LimitNews, ...] = ()
        self._limited = False

    def beat(self, order: Sequence[NodeId], meshed: bool, now_s: float) -> None:
        """Take the entries heard now, the strongest first, and divide limits if it is due."""
        self._measure(now_s)
        self._pool.beat(order, meshed, self._asked_per_s, now_s)
        self._news = self._spread.news(now_s)
        self._limited = self._limits.limited_count() > 0
        if self._pool.keeps is not self._kept_pool:
            self._kept_pool = self._pool.keeps
            self._log.event("limit_pool", keeps=self._kept_pool, entries=len(order))

    def _measure(self, now_s: float) -> None:
        asked = self._asked()
        if self._beat_s is not None and now_s > self._beat_s:
            passed_s = now_s - self._beat_s
            rate_per_s = (asked - self._asked_before) / passed_s
            weight = min(1.0, passed_s / SMOOTHED_S)
            self._asked_per_s += weight * (rate_per_s - self._asked_per_s)
        self._asked_before, self._beat_s = asked, now_s

    def news_for(self, node: NodeId, now_s: float) -> PoolNews:
        """Return what a heartbeat to another entry tells.

        Ages hold for the time of the beat, so answers to others' heartbeats tell of no limits.
        """
        limits = self._news if now_s == self._beat_s else ()
        return self._pool.news_for(node, limits, self._limited, now_s)

    def hear(
        self,
        sender: NodeId,
        news: PoolNews,
        echo_s: float | None,
        delay_s: float,
        now_s: float,
    ) -> None:
        """Take what a heartbeat tells; it echoes a time of this entry and may have been delayed."""
        self._pool.hear(sender, news, echo_s, now_s)
        for each in self._spread.hear(news.limits, delay_s, now_s):
            self._log.event(
                "target_limit_heard",
                target=each.instance,
                limit_per_s=each.limit_per_s or "",
                by=sender,
            )

    def gauges(self, now_s: float) -> dict[str, float]:
        """Return how many targets have a limit, and which part of each this entry has."""
        return {
            "targets_limited": float(self._limits.limited_count()),
            "limit_part": self._pool.part(now_s),
        }


__all__ = ["LimitSharing"]
