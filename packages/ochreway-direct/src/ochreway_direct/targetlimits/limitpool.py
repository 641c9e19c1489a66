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

MAX_CACHED_TARGETS = 8192
"""Of how many targets' limits this entry's part is kept as it was worked out."""
PEER_TIMEOUT_S = 2.0
"""For how long an entry that is silent is still taken to be there: a busy one is late at times."""
SHARES_TIMEOUT_S = 4.0
"""For how long parts hold without word from the keeper: a new one takes over within that time."""
MEMBER_TIMEOUT_S = 3.0
"""For how long an entry counts as a member after it said so."""
LIMIT_WINDOW_S = 4.0
"""For how long what was sent by old parts counts beside what is sent by new ones."""
TRANSITION_S = SHARES_TIMEOUT_S + LIMIT_WINDOW_S
"""How long old and new parts hold together, each entry going by its least."""
NEW_LEADER_DELAY_S = SHARES_TIMEOUT_S + 0.5
"""How long a keeper that has no parts to go on with lets those of a former one lapse."""
ALONE_DELAY_S = 10.0
"""After how long an entry that never heard another divides limits by the number it was told of."""
AMENDMENT_WINDOW_S = 3.0
"""For how long new parts may be replaced by newer ones, as callers are still moving."""
FOLLOW_DELAY_S = 2.0
"""Within how long all entries that hear a new keeper follow it."""
MIN_SHARE_CHANGE = 0.15
"""By how much the part of an entry has to differ before parts are changed.

During a change less than the limit is used, so chance alone is not to bring one about.
"""
WEIGHT_STEP = 0.5
"""In what steps an entry is weighed against an average one.

Entries that are asked for much the same have equal parts, which chance does not change.
"""
MIN_WEIGHT = 0.05
"""What an entry that is asked for nothing counts beside an average one."""


@dataclass(frozen=True, slots=True)
class Member:
    """Hold when an entry said that it follows this one, what it is asked for, and its mark."""

    last_received_s: float
    requests_per_s: float
    held_version: int = 0


class LimitPool:
    """Keep a pool, or be a member of one."""

    def __init__(self, me: NodeId, static_share: StandingShare, started_s: float) -> None:
        """Start without any part; ``standing`` knows how many entries there are.

        ``_since_s`` is when the newest parts were first told, ``_begun_s`` when the change that
        they belong to began, ``_keeper_s`` when this entry took the pool over, and ``_told_s``
        when it last told its parts to anybody.
        """
        self._me = me
        self._static_share = static_share
        self._started_s = started_s
        self._full_mesh = True
        self._requests_per_s = 0.0
        self._leader: NodeId | None = None
        self._leading_peers: set[NodeId] = set()
        self._last_received_s: dict[NodeId, float] = {}
        self._members: dict[NodeId, Member] = {}
        self._allotments: tuple[Allotment, ...] = ()
        self._valid_until_s = -math.inf
        self._announced_s = self._transition_began_s = started_s
        self._leader_since_s = started_s
        self._last_sent_s = -math.inf
        # Marks of a former life must not be taken for this one's.
        self._version = int(started_s * 1000)
        self._held_version = 0
        self._request_cache: dict[tuple[InstanceId, int], int] = {}

    # Who keeps the pool.

    def tick(
        self, ranked_entries: Sequence[NodeId], full_mesh: bool, requests_per_s: float, now_s: float
    ) -> None:
        """Choose the keeper among the entries heard, this one too, and divide anew as keeper.

        Whoever keeps a pool goes on while it is heard, as a change costs everyone its part.
        """
        self._full_mesh = full_mesh
        self._requests_per_s = requests_per_s
        self._last_received_s = {
            n: at for n, at in self._last_received_s.items() if now_s - at < PEER_TIMEOUT_S
        }
        self._leading_peers.intersection_update(self._last_received_s)
        self._members = {
            n: each
            for n, each in self._members.items()
            if now_s - each.last_received_s < MEMBER_TIMEOUT_S
        }
        alive = [
            node for node in ranked_entries if node == self._me or node in self._last_received_s
        ]
        leading = [
            node for node in alive if node in self._leading_peers or self._leads_with_shares(node)
        ]
        self._follow_leader((leading or alive)[0], now_s)
        if self.is_leader:
            self._update_allotments(now_s)

    @property
    def is_leader(self) -> bool:
        """Tell whether this entry divides the limits."""
        return self._leader == self._me

    def _leads_with_shares(self, node: NodeId) -> bool:
        return node == self._me and self.is_leader and bool(self._allotments)

    def _follow_leader(self, leader: NodeId, now_s: float) -> None:
        if leader == self._leader:
            return
        if self.is_leader and self._allotments:
            # The others go on by these parts until they hear from the new keeper.
            self._valid_until_s = now_s + SHARES_TIMEOUT_S
        self._leader = leader
        self._held_version = 0
        if not self.is_leader:
            return
        # A former keeper's parts are gone on with: they still add up, whoever tells of them.
        self._set_allotments(self._allotments if now_s < self._valid_until_s else ())
        self._announced_s = self._leader_since_s = now_s
        self._last_sent_s = now_s

    def _set_allotments(self, new_allotments: tuple[Allotment, ...]) -> None:
        if new_allotments != self._allotments:
            self._allotments = new_allotments
            self._version += 1
            self._request_cache.clear()

    # Dividing, as keeper.

    def _update_allotments(self, now_s: float) -> None:
        desired = self._desired_allotment(now_s)
        if desired is None or now_s - self._leader_since_s < FOLLOW_DELAY_S:
            return
        if not self._allotments:
            if now_s - self._announced_s >= NEW_LEADER_DELAY_S:
                self._set_allotments((desired,))
        elif now_s - self._last_sent_s >= TRANSITION_S:
            # Nobody holds any part, as there was no limit to tell of.
            self._set_allotments((desired,))
        elif len(self._allotments) == 1:
            if desired.differs(self._allotments[0], MIN_SHARE_CHANGE):
                self._transition_began_s = now_s
                self._start_transition(desired, now_s)
        elif now_s - self._announced_s >= TRANSITION_S:
            self._end_transition(desired, now_s)
        elif now_s - self._transition_began_s < AMENDMENT_WINDOW_S and desired.differs(
            self._allotments[1], MIN_SHARE_CHANGE
        ):
            self._start_transition(desired, now_s)

    def _start_transition(self, desired: Allotment, now_s: float) -> None:
        self._set_allotments((self._allotments[0], desired))
        self._announced_s = now_s

    def _end_transition(self, desired: Allotment, now_s: float) -> None:
        """Let only the new parts hold, if those whose share they divide are members still."""
        new = self._allotments[1]
        if new.parts.keys() <= desired.parts.keys():
            self._set_allotments((new,))
        else:
            self._start_transition(desired, now_s)

    def _desired_allotment(self, now_s: float) -> Allotment | None:
        """Return the parts by what members are asked for; None before all entries are known."""
        if not self._static_share.settled(now_s) and now_s - self._started_s < ALONE_DELAY_S:
            return None
        demand = {node: each.requests_per_s for node, each in self._members.items()}
        demand[self._me] = self._requests_per_s
        known_share = len(demand) / max(len(demand), self._static_share.known)
        weights = _weights(demand)
        total_weight = sum(weights.values())
        return Allotment(
            {node: known_share * each / total_weight for node, each in weights.items()}
        )

    # What is told and heard.

    def news_for(
        self, node: NodeId, limits: tuple[LimitNews, ...], any_limit: bool, now_s: float
    ) -> PoolNews:
        """Return what another entry is told; parts only while any target has a limit."""
        sends_allotments = self.is_leader and any_limit
        if sends_allotments:
            self._last_sent_s = now_s
        member = self._members.get(node)
        up_to_date = member is not None and member.held_version == self._version
        return PoolNews(
            keeps=self._leads_with_shares(self._me),
            follows=node == self._leader,
            asked_per_s=round(self._requests_per_s, 1),
            mark=self._version if sends_allotments else 0,
            holds=self._held_version if node == self._leader else 0,
            allotments=self._allotments if sends_allotments and not up_to_date else (),
            limits=limits,
        )

    def on_news(self, sender: NodeId, news: PoolNews, echo_s: float | None, now_s: float) -> None:
        """Take what another entry tells, with the newest time of this one's that it had heard."""
        self._last_received_s[sender] = now_s
        if news.keeps:
            self._leading_peers.add(sender)
        else:
            self._leading_peers.discard(sender)
        if news.follows:
            self._members[sender] = Member(now_s, news.asked_per_s, news.holds)
        else:
            self._members.pop(sender, None)
        if sender == self._leader and news.mark and echo_s is not None:
            self._adopt_allotments(news, echo_s)

    def _adopt_allotments(self, news: PoolNews, echo_s: float) -> None:
        """Take the keeper's parts, or go on by those that it says still hold."""
        if news.allotments:
            self._set_allotments(news.allotments)
            self._held_version = news.mark
        if self._held_version == news.mark:
            self._valid_until_s = echo_s + SHARES_TIMEOUT_S

    # What is asked.

    def requests_of(self, quota: Quota, instance: InstanceId, now_s: float) -> int:
        """Return how many of a target's requests within a span are this entry's."""
        if not self._full_mesh:
            return self._static_share.equal_of(quota.requests, instance, now_s)
        if not self.is_leader and now_s >= self._valid_until_s:
            return 0
        key = (instance, quota.requests)
        own_requests = self._request_cache.get(key)
        if own_requests is None:
            if len(self._request_cache) >= MAX_CACHED_TARGETS:
                self._request_cache.clear()
            counts = (
                each.requests_of(self._me, quota.requests, instance) for each in self._allotments
            )
            own_requests = self._request_cache[key] = min(counts, default=0)
        return own_requests

    def current_share(self, now_s: float) -> float:
        """Return which part of a limit this entry has."""
        if not self.is_leader and now_s >= self._valid_until_s:
            return 0.0
        return min((each.parts.get(self._me, 0.0) for each in self._allotments), default=0.0)


def _weights(requests_per_s: Mapping[NodeId, float]) -> dict[NodeId, float]:
    """Return what each entry counts, by what it is asked for beside the others."""
    average = sum(requests_per_s.values()) / len(requests_per_s) or 1.0
    return {
        node: max(MIN_WEIGHT, WEIGHT_STEP * round(each / average / WEIGHT_STEP))
        for node, each in requests_per_s.items()
    }


__all__ = ["LimitPool"]
