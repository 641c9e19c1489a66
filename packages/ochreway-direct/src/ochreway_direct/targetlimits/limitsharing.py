# SPDX-License-Identifier: Apache-2.0
"""Exchange of limits and shares with heartbeats."""

from collections.abc import Callable, Sequence

from ochreway_core.ids import NodeId
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_direct.targetlimits.limitspread import LimitSpread
from ochreway_direct.targetlimits.poolnews import LimitNews, PoolNews
from ochreway_routing.targetlimits import TargetLimits
from ochreway_runtime.logs import EventLog

RATE_SMOOTHING_S = 3.0
"""Time over which the request rate is averaged; shares should not follow single callers."""


class LimitSharing:
    """Make limits known to all entries, and each entry's share known to it."""

    def __init__(
        self,
        limits: TargetLimits,
        pool: LimitPool,
        count_requests: Callable[[], int],
        log: EventLog,
    ) -> None:
        """Share the limits; ``count_requests`` returns how many requests this entry received."""
        self._limits = limits
        self._pool = pool
        self._spread = LimitSpread(limits)
        self._count_requests = count_requests
        self._log = log
        self._requests_before = 0
        self._last_tick_s: float | None = None
        self._requests_per_s = 0.0
        self._was_leader = False
        self._limit_news: tuple[LimitNews, ...] = ()
        self._any_limit = False

    def tick(self, ranked_entries: Sequence[NodeId], full_mesh: bool, now_s: float) -> None:
        """Measure the request rate and update the pool; live entries come strongest first."""
        self._update_rate(now_s)
        self._pool.tick(ranked_entries, full_mesh, self._requests_per_s, now_s)
        self._limit_news = self._spread.news(now_s)
        self._any_limit = self._limits.limited_count() > 0
        if self._pool.is_leader is not self._was_leader:
            self._was_leader = self._pool.is_leader
            self._log.event("limit_pool", keeps=self._was_leader, entries=len(ranked_entries))

    def _update_rate(self, now_s: float) -> None:
        requests = self._count_requests()
        if self._last_tick_s is not None and now_s > self._last_tick_s:
            elapsed_s = now_s - self._last_tick_s
            rate_per_s = (requests - self._requests_before) / elapsed_s
            weight = min(1.0, elapsed_s / RATE_SMOOTHING_S)
            self._requests_per_s += weight * (rate_per_s - self._requests_per_s)
        self._requests_before, self._last_tick_s = requests, now_s

    def news_for(self, node: NodeId, now_s: float) -> PoolNews:
        """Return the part of a heartbeat to another entry that concerns limits.

        Ages refer to the time of the tick, so answers to others' heartbeats carry no limits.
        """
        limits = self._limit_news if now_s == self._last_tick_s else ()
        return self._pool.news_for(node, limits, self._any_limit, now_s)

    def on_news(
        self,
        sender: NodeId,
        news: PoolNews,
        echo_s: float | None,
        delay_s: float,
        now_s: float,
    ) -> None:
        """Handle the part of a heartbeat that concerns limits.

        Args:
            sender: the entry that sent it.
            news: the limits and the state of the pool.
            echo_s: the latest of this entry's times that the sender had received.
            delay_s: how long the heartbeat may have been under way.
            now_s: the time.
        """
        self._pool.on_news(sender, news, echo_s, now_s)
        for changed_limit in self._spread.on_news(news.limits, delay_s, now_s):
            self._log.event(
                "target_limit_heard",
                target=changed_limit.instance,
                limit_per_s=changed_limit.limit_per_s or "",
                by=sender,
            )

    def gauges(self, now_s: float) -> dict[str, float]:
        """Return how many targets have a limit, and this entry's share of each."""
        return {
            "targets_limited": float(self._limits.limited_count()),
            "limit_part": self._pool.current_share(now_s),
        }


__all__ = ["LimitSharing"]
