# SPDX-License-Identifier: Apache-2.0
"""Division of limits among connected entries, in proportion to their request rates.

One entry of a pool is its leader and sends the others their shares; this needs neither the store
nor the lease. An entry is in one pool at a time, and a pool divides no more than its members'
share of all known entries. So pools that are cut off from each other never exceed a limit
together.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ochreway_core.ids import InstanceId, NodeId
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_direct.targetlimits.allotment import Allotment
from ochreway_direct.targetlimits.poolnews import LimitNews, PoolNews
from ochreway_routing.quota import Quota

MAX_CACHED_TARGETS = 8192
"""Number of targets for which this entry's computed number of requests is cached."""
PEER_TIMEOUT_S = 2.0
"""Silence after which an entry counts as lost; a busy one may send its heartbeats late."""
SHARES_TIMEOUT_S = 4.0
"""How long shares are valid without a message from the leader.

A new leader takes over within that time.
"""
MEMBER_TIMEOUT_S = 3.0
"""How long an entry counts as a member after its last message that says so."""
LIMIT_WINDOW_S = 4.0
"""How long requests sent under old shares count beside those sent under new ones."""
TRANSITION_S = SHARES_TIMEOUT_S + LIMIT_WINDOW_S
"""How long old and new shares are in force together; each entry uses its smaller one."""
NEW_LEADER_DELAY_S = SHARES_TIMEOUT_S + 0.5
"""How long a new leader without shares to continue waits for those of a former one to expire."""
ALONE_DELAY_S = 10.0
"""Wait of an entry that never heard another one before it divides limits.

It then goes by the number of entries that it was configured with.
"""
AMENDMENT_WINDOW_S = 3.0
"""How long after the start of a transition the new shares may still be replaced.

Callers may still be moving between entries.
"""
FOLLOW_DELAY_S = 2.0
"""Time within which all entries that receive a new leader's heartbeats follow it."""
MIN_SHARE_CHANGE = 0.15
"""Difference of an entry's share that starts a transition to new shares.

During a transition less than the limit is used, so random fluctuation must not start one.
"""
WEIGHT_STEP = 0.5
"""Step to which an entry's weight, relative to the average, is rounded.

Entries with similar request rates so have equal shares, which do not fluctuate.
"""
MIN_WEIGHT = 0.05
"""Weight, relative to the average, of an entry without requests."""


@dataclass(frozen=True, slots=True)
class Member:
    """Hold a follower's last message time, its request rate and the version of its shares."""

    last_received_s: float
    requests_per_s: float
    held_version: int = 0


class LimitPool:
    """Lead a pool, or be a member of one."""

    def __init__(self, me: NodeId, static_share: StaticShare, started_s: float) -> None:
        """Start without any share; ``static_share`` knows the number of entries.

        ``_announced_s`` is when the newest allotment was first announced, ``_transition_began_s``
        when the transition to it began, ``_leader_since_s`` when this entry became the leader, and
        ``_last_sent_s`` when it last sent allotments to any entry.
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
        # Versions of a former incarnation must not be confused with those of this one.
        self._version = int(started_s * 1000)
        self._held_version = 0
        self._request_cache: dict[tuple[InstanceId, int], int] = {}

    # Leader of the pool

    def tick(
        self, ranked_entries: Sequence[NodeId], full_mesh: bool, requests_per_s: float, now_s: float
    ) -> None:
        """Choose the leader among the live entries and, as leader, update the allotments.

        A leader stays while it is alive, as a change interrupts the shares of all members.
        """
        self._full_mesh = full_mesh
        self._requests_per_s = requests_per_s
        self._last_received_s = {
            n: at for n, at in self._last_received_s.items() if now_s - at < PEER_TIMEOUT_S
        }
        self._leading_peers.intersection_update(self._last_received_s)
        self._members = {
            n: follower
            for n, follower in self._members.items()
            if now_s - follower.last_received_s < MEMBER_TIMEOUT_S
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
        """Return whether this entry divides the limits."""
        return self._leader == self._me

    def _leads_with_shares(self, node: NodeId) -> bool:
        return node == self._me and self.is_leader and bool(self._allotments)

    def _follow_leader(self, leader: NodeId, now_s: float) -> None:
        if leader == self._leader:
            return
        if self.is_leader and self._allotments:
            # The others use these shares until they receive a message from the new leader.
            self._valid_until_s = now_s + SHARES_TIMEOUT_S
        self._leader = leader
        self._held_version = 0
        if not self.is_leader:
            return
        # A former leader's shares are continued: their sum is right whoever announces them.
        self._set_allotments(self._allotments if now_s < self._valid_until_s else ())
        self._announced_s = self._leader_since_s = now_s
        self._last_sent_s = now_s

    def _set_allotments(self, new_allotments: tuple[Allotment, ...]) -> None:
        if new_allotments != self._allotments:
            self._allotments = new_allotments
            self._version += 1
            self._request_cache.clear()

    # Division as leader

    def _update_allotments(self, now_s: float) -> None:
        desired = self._desired_allotment(now_s)
        if desired is None or now_s - self._leader_since_s < FOLLOW_DELAY_S:
            return
        if not self._allotments:
            if now_s - self._announced_s >= NEW_LEADER_DELAY_S:
                self._set_allotments((desired,))
        elif now_s - self._last_sent_s >= TRANSITION_S:
            # No entry has valid shares, as there was no limit to announce.
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
        """Put only the new shares in force, if all entries that they include are still members."""
        new = self._allotments[1]
        if new.parts.keys() <= desired.parts.keys():
            self._set_allotments((new,))
        else:
            self._start_transition(desired, now_s)

    def _desired_allotment(self, now_s: float) -> Allotment | None:
        """Return shares by the members' request rates; None before all entries are known."""
        if not self._static_share.is_settled(now_s) and now_s - self._started_s < ALONE_DELAY_S:
            return None
        demand = {node: follower.requests_per_s for node, follower in self._members.items()}
        demand[self._me] = self._requests_per_s
        known_share = len(demand) / max(len(demand), self._static_share.entry_count)
        weights = _weights(demand)
        total_weight = sum(weights.values())
        return Allotment(
            {node: known_share * weight / total_weight for node, weight in weights.items()}
        )

    # Messages between entries

    def news_for(
        self, node: NodeId, limits: tuple[LimitNews, ...], any_limit: bool, now_s: float
    ) -> PoolNews:
        """Return the message for another entry, with allotments only while a limit exists."""
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
        """Handle a message; ``echo_s`` is the latest of this entry's times that the sender had."""
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
        """Adopt the leader's allotments, or extend those that it confirms."""
        if news.allotments:
            self._set_allotments(news.allotments)
            self._held_version = news.mark
        if self._held_version == news.mark:
            self._valid_until_s = echo_s + SHARES_TIMEOUT_S

    # Queries

    def requests_of(self, quota: Quota, instance: InstanceId, now_s: float) -> int:
        """Return how many of a target's requests per quota window this entry may send."""
        if not self._full_mesh:
            return self._static_share.equal_requests_for(quota.requests, instance, now_s)
        if not self.is_leader and now_s >= self._valid_until_s:
            return 0
        key = (instance, quota.requests)
        own_requests = self._request_cache.get(key)
        if own_requests is None:
            if len(self._request_cache) >= MAX_CACHED_TARGETS:
                self._request_cache.clear()
            counts = (
                allotment.requests_of(self._me, quota.requests, instance)
                for allotment in self._allotments
            )
            own_requests = self._request_cache[key] = min(counts, default=0)
        return own_requests

    def current_share(self, now_s: float) -> float:
        """Return this entry's share of each limit."""
        if not self.is_leader and now_s >= self._valid_until_s:
            return 0.0
        return min(
            (allotment.parts.get(self._me, 0.0) for allotment in self._allotments), default=0.0
        )


def _weights(requests_per_s: Mapping[NodeId, float]) -> dict[NodeId, float]:
    """Return each entry's weight by its request rate relative to the average."""
    average = sum(requests_per_s.values()) / len(requests_per_s) or 1.0
    return {
        node: max(MIN_WEIGHT, WEIGHT_STEP * round(rate / average / WEIGHT_STEP))
        for node, rate in requests_per_s.items()
    }


__all__ = ["LimitPool"]
