# SPDX-License-Identifier: Apache-2.0
"""Processing of the notices in targets' answers: backoffs, announced leaves and limits."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ochreway_core.ids import InstanceId
from ochreway_core.targetnotice import TargetNotice
from ochreway_routing.backoffs import Backoffs
from ochreway_routing.targetlimits import MAX_TARGETS, LimitNotice, TargetLimits
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

USE_LOG_INTERVAL_S = 5.0
"""Minimum time between two log lines on this entry's use of a target's limit."""
QUERY_INTERVAL_S = 10.0
"""How often an engine with a limit is queried for its state, as a query may count as a request."""
URGENT_QUERY_INTERVAL_S = 2.0
"""How often while a change of its state is awaited, such as joining a group."""


@dataclass(slots=True)
class LimitUse:
    """Count the answers of a target with a limit since a time."""

    since_s: float
    answers: int = 0


class NoticeWatch:
    """Process the notices of all answers to this entry: to requests, queries and orders."""

    def __init__(
        self, backoffs: Backoffs, limits: TargetLimits, log: EventLog, metrics: Metrics
    ) -> None:
        self._backoffs = backoffs
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._limit_use: dict[InstanceId, LimitUse] = {}
        self._last_query_s: dict[InstanceId, float] = {}

    def on_notice(
        self, instance: InstanceId, notice: TargetNotice, born_ms: int | None = None
    ) -> None:
        """Apply the backoff or leave that an answer announces."""
        if notice.backoff_s is not None:
            self._metrics.count("notice.backoff")
        if notice.leaving:
            self._metrics.count("notice.leaving")
        if notice.limit_per_s is not None:
            self._metrics.count("notice.limit")
        if not self._backoffs.record_notice(
            instance, notice, asyncio.get_running_loop().time(), born_ms
        ):
            return
        if notice.leaving:
            self._log.event("target_leaving", target=instance)
        else:
            self._log.event("target_backoff", target=instance, asked_s=notice.backoff_s)

    def on_answer(
        self, instance: InstanceId, notice: TargetNotice, born_ms: int | None = None
    ) -> None:
        """Apply the notice of the answer to a request; without a limit, a former one has ended."""
        self.on_notice(instance, notice, born_ms)
        self._update_limit(instance, notice.limit_per_s, born_ms)

    def on_reported_limit(
        self, instance: InstanceId, limit_per_s: float, born_ms: int | None
    ) -> None:
        """Apply a limit in an engine's report; a report without one does not end a limit."""
        self._metrics.count("notice.limit")
        self._update_limit(instance, limit_per_s, born_ms)

    def _update_limit(
        self, instance: InstanceId, limit_per_s: float | None, born_ms: int | None
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        before = self._limits.limit_per_s(instance, born_ms)
        if self._limits.record_limit(instance, LimitNotice(limit_per_s, now_s, born_ms)):
            self._log.event(
                "target_limit", target=instance, limit_per_s=limit_per_s or "", before=before or ""
            )
        self._count_answer(instance, limit_per_s, now_s)

    def _count_answer(self, instance: InstanceId, limit_per_s: float | None, now_s: float) -> None:
        """Count the answers of a target with a limit, and log their number at intervals."""
        if limit_per_s is None:
            self._limit_use.pop(instance, None)
            return
        use = self._limit_use.setdefault(instance, LimitUse(now_s))
        _drop_oldest(self._limit_use)
        use.answers += 1
        if now_s - use.since_s < USE_LOG_INTERVAL_S:
            return
        self._log.event(
            "target_limit_used",
            target=instance,
            limit_per_s=limit_per_s,
            answers=use.answers,
            for_s=round(now_s - use.since_s, 2),
        )
        self._limit_use[instance] = LimitUse(now_s)

    def wait_s(self, instance: InstanceId, born_ms: int | None = None) -> float:
        """Return how long a target must get no requests; infinite if it leaves."""
        return self._backoffs.wait_s(instance, asyncio.get_running_loop().time(), born_ms)

    def may_query(self, instance: InstanceId, born_ms: int | None, urgent: bool) -> bool:
        """Return whether an engine may be queried for its state now, and record the query."""
        if self.backed_off(instance, born_ms):
            return False
        if self._limits.limit_per_s(instance, born_ms) is None:
            self._last_query_s.pop(instance, None)
            return True
        now_s = asyncio.get_running_loop().time()
        interval_s = URGENT_QUERY_INTERVAL_S if urgent else QUERY_INTERVAL_S
        if now_s - self._last_query_s.get(instance, -QUERY_INTERVAL_S) < interval_s:
            return False
        self._last_query_s[instance] = now_s
        _drop_oldest(self._last_query_s)
        return True

    def backed_off(self, instance: InstanceId, born_ms: int | None = None) -> bool:
        """Return whether an engine must get neither orders nor queries now.

        One that leaves still gets both, as its group has to be closed.
        """
        return self._backoffs.backed_off(instance, asyncio.get_running_loop().time(), born_ms)

    def gauges(self) -> dict[str, float]:
        """Return the number of targets in backoff and of those that announced that they leave."""
        return {
            "targets_backed_off": float(
                self._backoffs.number_backed_off(asyncio.get_running_loop().time())
            ),
            "targets_leaving": float(self._backoffs.number_leaving()),
        }


def _drop_oldest(states: dict[InstanceId, Any]) -> None:
    """Drop the oldest item if there are more than ``MAX_TARGETS``."""
    if len(states) > MAX_TARGETS:
        del states[next(iter(states))]


__all__ = ["NoticeWatch"]
