# SPDX-License-Identifier: Apache-2.0
"""Propagation of limits, so that all entries learn what one target answered to one entry."""

from collections.abc import Iterable

from ochreway_core.ids import InstanceId
from ochreway_direct.targetlimits.poolnews import LimitNews
from ochreway_routing.targetlimits import LimitNotice, TargetLimits

CHANGE_ANNOUNCED_FOR_S = 2.0
"""How long a changed limit is announced first: several heartbeats, as some may be lost."""
MAX_CHANGES_PER_HEARTBEAT = 16
ROTATED_PER_HEARTBEAT = 2
"""How many changed limits, and how many others in rotation, a heartbeat carries.

An entry that sends to a target learns its limit itself; others need not know it at once.
"""
END_ANNOUNCED_FOR_S = 20.0
"""How long the end of a limit is announced, so that it reaches entries that were cut off."""


class LimitSpread:
    """Announce limits with each heartbeat: recent changes first, then all in rotation."""

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits
        self._rotation: list[str] = []

    def news(self, now_s: float) -> tuple[LimitNews, ...]:
        """Return the limits to announce with the next heartbeats."""
        changed = self._limits.changed_since(now_s - CHANGE_ANNOUNCED_FOR_S)[
            -MAX_CHANGES_PER_HEARTBEAT:
        ]
        if not self._rotation:
            self._rotation = self._limits.targets()
        announced = dict.fromkeys((*changed, *self._rotation[-ROTATED_PER_HEARTBEAT:]))
        del self._rotation[-ROTATED_PER_HEARTBEAT:]
        latest = ((target, self._limits.latest_notice(target)) for target in announced)
        return tuple(
            LimitNews(
                InstanceId(target), notice.limit_per_s, now_s - notice.received_s, notice.born_ms
            )
            for target, notice in latest
            if notice is not None and _is_announced(notice, now_s)
        )

    def on_news(self, news: Iterable[LimitNews], delay_s: float, now_s: float) -> list[LimitNews]:
        """Record limits that another entry announced; return those that are new.

        The message was under way for ``delay_s``.
        """
        return [limit for limit in news if self._record(limit, now_s - delay_s, now_s)]

    def _record(self, news: LimitNews, sent_s: float, now_s: float) -> bool:
        notice = LimitNotice(news.limit_per_s, sent_s - news.age_s, news.born_ms)
        return self._limits.record_limit(news.instance, notice, now_s)


def _is_announced(notice: LimitNotice, now_s: float) -> bool:
    return notice.limit_per_s is not None or now_s - notice.received_s < END_ANNOUNCED_FOR_S


__all__ = ["MAX_CHANGES_PER_HEARTBEAT", "LimitSpread"]
