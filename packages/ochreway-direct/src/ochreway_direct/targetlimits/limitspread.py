# SPDX-License-Identifier: Apache-2.0
"""Passing on what targets named, so that one entry's answer tells all."""

from collections.abc import Iterable

from ochreway_core.ids import InstanceId
from ochreway_direct.targetlimits.poolnews import LimitNews
from ochreway_routing.targetlimits import LimitNotice, TargetLimits

NEWS_S = 2.0
"""For how long it is told that a limit changed: several heartbeats, some of which may be lost."""
NEWS_AT_MOST = 16
IN_TURN = 2
"""How many changed limits, and how many others in turn, a heartbeat tells of.

Whoever sends to a target hears its limit itself; the others need not know it at once.
"""
OVER_TOLD_S = 20.0
"""For how long it is told that a limit is over, to entries that were cut off meanwhile too."""


class LimitSpread:
    """Tell of limits with each heartbeat: those that changed first, then all in turn."""

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits
        self._turn: list[str] = []

    def news(self, now_s: float) -> tuple[LimitNews, ...]:
        """Return what to tell now."""
        changed = self._limits.changed_since(now_s - NEWS_S)[-NEWS_AT_MOST:]
        if not self._turn:
            self._turn = self._limits.targets()
        told = dict.fromkeys((*changed, *self._turn[-IN_TURN:]))
        del self._turn[-IN_TURN:]
        words = ((target, self._limits.latest_notice(target)) for target in told)
        return tuple(
            LimitNews(InstanceId(target), word.limit_per_s, now_s - word.received_s, word.born_ms)
            for target, word in words
            if word is not None and _told(word, now_s)
        )

    def hear(self, news: Iterable[LimitNews], delay_s: float, now_s: float) -> list[LimitNews]:
        """Take what another entry tells, which was on its way for some time; return what is new."""
        return [each for each in news if self._take(each, now_s - delay_s, now_s)]

    def _take(self, news: LimitNews, told_s: float, now_s: float) -> bool:
        word = LimitNotice(news.limit_per_s, told_s - news.age_s, news.born_ms)
        return self._limits.record_limit(news.instance, word, now_s)


def _told(word: LimitNotice, now_s: float) -> bool:
    return word.limit_per_s is not None or now_s - word.received_s < OVER_TOLD_S


__all__ = ["NEWS_AT_MOST", "LimitSpread"]
