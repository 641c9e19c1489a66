# SPDX-License-Identifier: Apache-2.0
"""Dividing limits among the entries that hear each other, by what each is asked for.

One of them keeps the pool and tells the others their parts; it needs neither the store nor the
lease. An entry is in one pool at a time, and a pool divides no more than its members' share of
all entries that are known, so pools that do not hear each other add up to no more than a limit.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ochreway_core.ids import InstanceId, NodeId
from ochreway_direct.sendlimits.standingshare import StandingShare
from ochreway_direct.targetlimits.allotment import Allotment
from ochreway_direct.targetlimits.poolnews import LimitNews, PoolNews
from ochreway_routing.quota import Quota

WORKED_OUT_AT_MOST = 8192
"""Of how many targets' limits this entry's part is kept as it was worked out."""
HEARD_S = 2.0
"""For how long an entry that is silent is still taken to be there: a busy one is late at times."""
LENT_S = 4.0
"""For how long parts hold without word from the keeper: a new one takes over within that time."""
MEMBER_S = 3.0
"""For how long an entry counts as a member after it said so."""
SPAN_S = 4.0
"""For how long what was sent by old parts counts beside what is sent by new ones."""
CHANGE_S = LENT_S + SPAN_S
"""How long old and new parts hold together, each entry going by its least."""
QUIET_S = LENT_S + 0.5
"""How long a keeper that has no parts to go on with lets those of a former one lapse."""
LONE_S = 10.0
"""After how long an entry that never heard another divides limits by the number it was told of."""
AMENDED_S = 3.0
"""For how long new parts may be replaced by newer ones, as callers are still moving."""
JOINED_S = 2.0
"""Within how long all entries that hear a new keeper follow it."""
PART_CHANGED = 0.15
"""By how much the part of an entry has to differ before parts are changed.

During a change less than the limit is used, so chance alone is not to bring one about.
"""
WEIGHT_STEP = 0.5
"""In what steps an entry is weighed against an average one.

Entries that are asked for much the same have equal parts, which chance does not change.
"""
LEAST_WEIGHT = 0.05
"""What an entry that is asked for nothing counts beside an average one."""


@dataclass(frozen=True, slots=True)
class Member:
    """Hold when an entry said that it follows this one, what it is asked for, and its mark."""

    heard_s: float
    asked_per_s: float
    holds: int = 0


class LimitPool:
    """Keep a pool, or be a member of one."""

    def __init__(self, me: NodeId, standing: StandingShare, began_s: float) -> None:
        """Start without any part; ``standing`` knows how many entries there are.

        ``_since_s`` is when the newest parts were first told, ``_begun_s`` when the change that
        they belong to began, ``_keeper_s`` when this entry took the pool over, and ``_told_s``
        when it last told its parts to anybody.
        """
        self._me = me
        self._standing = standing
        self._began_s = began_s
        self._meshed = True
        self._asked_per_s = 0.0
        self._keeper: NodeId | None = None
        self._keeping: set[NodeId] = set()
        self._heard_s: dict[NodeId, float] = {}
        self._members: dict[NodeId, Member] = {}
        self._parts: tuple[Allotment, ...] = ()
        self._until_s = -math.inf
        self._since_s = self._begun_s = began_s
        self._keeper_s = began_s
        self._told_s = -math.inf
        # Marks of a former life must not be taken for this one's.
        self._mark = int(began_s * 1000)
        self._holds = 0
        self._whole: dict[tuple[InstanceId, int], int] = {}

    # Who keeps the pool.

    def beat(self, order: Sequence[NodeId], meshed: bool, asked_per_s: float, now_s: float) -> None:
        """Choose the keeper among the entries heard, this one too, and divide anew as keeper.

        Whoever keeps a pool goes on while it is heard, as a change costs everyone its part.
        """
        self._meshed = meshed
        self._asked_per_s = asked_per_s
        self._heard_s = {n: at for n, at in self._heard_s.items() if now_s - at < HEARD_S}
        self._keeping.intersection_update(self._heard_s)
        self._members = {
            n: each for n, each in self._members.items() if now_s - each.heard_s < MEMBER_S
        }
        heard = [node for node in order if node == self._me or node in self._heard_s]
        keeping = [node for node in heard if node in self._keeping or self._keeps(node)]
        self._follow((keeping or heard)[0], now_s)
        if self.keeps:
            self._divide(now_s)

    @property
    def keeps(self) -> bool:
        """Tell whether this entry divides the limits."""
        return self._keeper == self._me

    def _keeps(self, node: NodeId) -> bool:
        return node == self._me and self.keeps and bool(self._parts)

    def _follow(self, keeper: NodeId, now_s: float) -> None:
        if keeper == self._keeper:
            return
        if self.keeps and self._parts:
            # The others go on by these parts until they hear from the new keeper.
            self._until_s = now_s + LENT_S
        self._keeper = keeper
        self._holds = 0
        if not self.keeps:
            return
        # A former keeper's parts are gone on with: they still add up, whoever tells of them.
        self._set(self._parts if now_s < self._until_s else ())
        self._since_s = self._keeper_s = now_s
        self._told_s = now_s

    def _set(self, parts: tuple[Allotment, ...]) -> None:
        if parts != self._parts:
            self._parts = parts
            self._mark += 1
            self._whole.clear()

    # Dividing, as keeper.

    def _divide(self, now_s: float) -> None:
        wanted = self._wanted(now_s)
        if wanted is None or now_s - self._keeper_s < JOINED_S:
            return
        if not self._parts:
            if now_s - self._since_s >= QUIET_S:
                self._set((wanted,))
        elif now_s - self._told_s >= CHANGE_S:
            # Nobody holds any part, as there was no limit to tell of.
            self._set((wanted,))
        elif len(self._parts) == 1:
            if wanted.differs(self._parts[0], PART_CHANGED):
                self._begun_s = now_s
                self._change(wanted, now_s)
        elif now_s - self._since_s >= CHANGE_S:
            self._end_change(wanted, now_s)
        elif now_s - self._begun_s < AMENDED_S and wanted.differs(self._parts[1], PART_CHANGED):
            self._change(wanted, now_s)

    def _change(self, wanted: Allotment, now_s: float) -> None:
        self._set((self._parts[0], wanted))
        self._since_s = now_s

    def _end_change(self, wanted: Allotment, now_s: float) -> None:
        """Let only the new parts hold, if those whose share they divide are members still."""
        new = self._parts[1]
        if new.parts.keys() <= wanted.parts.keys():
            self._set((new,))
        else:
            self._change(wanted, now_s)

    def _wanted(self, now_s: float) -> Allotment | None:
        """Return the parts by what members are asked for; None before all entries are known."""
        if not self._standing.settled(now_s) and now_s - self._began_s < LONE_S:
            return None
        asked = {node: each.asked_per_s for node, each in self._members.items()}
        asked[self._me] = self._asked_per_s
        share = len(asked) / max(len(asked), self._standing.known)
        weights = _weights(asked)
        whole = sum(weights.values())
        return Allotment({node: share * each / whole for node, each in weights.items()})

    # What is told and heard.

    def news_for(
        self, node: NodeId, limits: tuple[LimitNews, ...], any_limit: bool, now_s: float
    ) -> PoolNews:
        """Return what another entry is told; parts only while any target has a limit."""
        tells = self.keeps and any_limit
        if tells:
            self._told_s = now_s
        member = self._members.get(node)
        held = member is not None and member.holds == self._mark
        return PoolNews(
            keeps=self._keeps(self._me),
            follows=node == self._keeper,
            asked_per_s=round(self._asked_per_s, 1),
            mark=self._mark if tells else 0,
            holds=self._holds if node == self._keeper else 0,
            allotments=self._parts if tells and not held else (),
            limits=limits,
        )

    def hear(self, sender: NodeId, news: PoolNews, echo_s: float | None, now_s: float) -> None:
        """Take what another entry tells, with the newest time of this one's that it had heard."""
        self._heard_s[sender] = now_s
        if news.keeps:
            self._keeping.add(sender)
        else:
            self._keeping.discard(sender)
        if news.follows:
            self._members[sender] = Member(now_s, news.asked_per_s, news.holds)
        else:
            self._members.pop(sender, None)
        if sender == self._keeper and news.mark and echo_s is not None:
            self._take_parts(news, echo_s)

    def _take_parts(self, news: PoolNews, echo_s: float) -> None:
        """Take the keeper's parts, or go on by those that it says still hold."""
        if news.allotments:
            self._set(news.allotments)
            self._holds = news.mark
        if self._holds == news.mark:
            self._until_s = echo_s + LENT_S

    # What is asked.

    def requests_of(self, quota: Quota, instance: InstanceId, now_s: float) -> int:
        """Return how many of a target's requests within a span are this entry's."""
        if not self._meshed:
            return self._standing.equal_of(quota.requests, instance, now_s)
        if not self.keeps and now_s >= self._until_s:
            return 0
        key = (instance, quota.requests)
        found = self._whole.get(key)
        if found is None:
            if len(self._whole) >= WORKED_OUT_AT_MOST:
                self._whole.clear()
            parts = (each.requests_of(self._me, quota.requests, instance) for each in self._parts)
            found = self._whole[key] = min(parts, default=0)
        return found

    def part(self, now_s: float) -> float:
        """Return which part of a limit this entry has."""
        if not self.keeps and now_s >= self._until_s:
            return 0.0
        return min((each.parts.get(self._me, 0.0) for each in self._parts), default=0.0)


def _weights(asked_per_s: Mapping[NodeId, float]) -> dict[NodeId, float]:
    """Return what each entry counts, by what it is asked for beside the others."""
    average = sum(asked_per_s.values()) / len(asked_per_s) or 1.0
    return {
        node: max(LEAST_WEIGHT, WEIGHT_STEP * round(each / average / WEIGHT_STEP))
        for node, each in asked_per_s.items()
    }


__all__ = ["LimitPool"]
