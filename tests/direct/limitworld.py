# SPDX-License-Identifier: Apache-2.0
"""Entries that share the limits of targets over links that fail, in virtual time."""

import random
from dataclasses import dataclass, field

from ochreway_core.ids import HallId, InstanceId, NodeId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_direct.targetlimits.limitgate import LimitGate
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_direct.targetlimits.limitsharing import LimitSharing
from ochreway_direct.targetlimits.poolnews import PoolNews
from ochreway_routing.targetlimits import LimitNotice, TargetLimits
from tests.runtime.recordedlog import RecordedLog

TARGET = InstanceId("i-1")
STEP_S = 0.02
HEARTBEAT_INTERVAL_S = 0.3
PEER_TIMEOUT_S = 1.0
ANSWER_DELAY_S = 0.05
LIMIT_WINDOW_S = 4.0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Hold the fields of a heartbeat that concern limits."""

    sender: NodeId
    sent_s: float
    echo_s: float | None
    names: tuple[NodeId, ...]
    news: PoolNews
    arrives_s: float


class LimitEntry:
    """An entry with its gate and its pool."""

    def __init__(self, world: "LimitWorld", name: NodeId, seeds: int) -> None:
        self._world = world
        self.name = name
        self.started_s = world.now_s
        self.static_share = StaticShare(name, seeds, self.started_s)
        self.limits = TargetLimits()
        self.pool = LimitPool(name, self.static_share, self.started_s)
        self.gate = LimitGate(self.limits, self.pool)
        self.requests = 0
        self.sharing = LimitSharing(self.limits, self.pool, lambda: self.requests, RecordedLog())
        self.last_received: dict[NodeId, tuple[float, float]] = {}
        self.names: set[NodeId] = set()
        self.paused_until_s = 0.0
        self.requests_per_s = 10.0
        self.next_heartbeat_s = world.random.uniform(0.0, HEARTBEAT_INTERVAL_S) + self.started_s

    def alive_peers(self) -> list[NodeId]:
        now_s = self._world.now_s
        return [n for n, (at_s, _) in self.last_received.items() if now_s - at_s < PEER_TIMEOUT_S]

    def send_heartbeats(self) -> None:
        now_s = self._world.now_s
        alive = self.alive_peers()
        self.static_share.update_entries(self.names, bool(alive), now_s)
        self.sharing.tick(sorted([*self.last_received, self.name]), True, now_s)
        for peer in self._world.names():
            if peer != self.name:
                echo_s = self.last_received[peer][1] if peer in self.last_received else None
                news = self.sharing.news_for(peer, now_s)
                names = (*self.names, self.name)
                self._world.send(peer, Heartbeat(self.name, now_s, echo_s, names, news, 0.0))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        now_s = self._world.now_s
        self.last_received[heartbeat.sender] = (now_s, heartbeat.sent_s)
        self.names.update(each for each in heartbeat.names if each != self.name)
        echo_s = (
            heartbeat.echo_s
            if heartbeat.echo_s is not None and heartbeat.echo_s >= self.started_s
            else None
        )
        self.sharing.on_news(heartbeat.sender, heartbeat.news, echo_s, 0.0, now_s)

    def maybe_send_request(self) -> None:
        """Send a request if one arrives and the target may be sent it."""
        if self._world.random.random() >= self.requests_per_s * STEP_S:
            return
        now_s = self._world.now_s
        self.requests += 1
        if self.gate.wait_s(TARGET, None, now_s) > 0.0:
            return
        attempt = Attempt(TARGET, "address", HallId("h"), TARGET, begun_s=now_s)
        attempt.record_written(now_s)
        self.gate.record_sent(attempt)
        self._world.record_arrival(self)


@dataclass
class LimitWorld:
    """Simulate entries in virtual time; ``limit_per_s`` is what the target announces now."""

    seed: int
    seeds: int
    limit_per_s: float | None = None
    now_s: float = 100.0
    loss_rate: float = 0.0
    max_delay_s: float = 0.05
    arrivals: list[tuple[float, NodeId]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.entries: dict[NodeId, LimitEntry] = {}
        self.cut_links: set[frozenset[NodeId]] = set()
        self._heartbeats: list[tuple[NodeId, Heartbeat]] = []
        self._answers: list[tuple[float, NodeId, float | None]] = []

    def names(self) -> list[NodeId]:
        return list(self.entries)

    def add_entry(self, name: str) -> LimitEntry:
        node = NodeId(name)
        self.entries[node] = LimitEntry(self, node, self.seeds)
        return self.entries[node]

    def remove_entry(self, name: str) -> None:
        del self.entries[NodeId(name)]

    def isolate(self, *names: str) -> None:
        """Cut some entries off from all others, but not from each other."""
        isolated = set(map(NodeId, names))
        for one in self.entries:
            self.cut_links |= {frozenset((one, each)) for each in isolated if one not in isolated}

    def send(self, receiver: NodeId, heartbeat: Heartbeat) -> None:
        if (
            frozenset((receiver, heartbeat.sender)) in self.cut_links
            or self.random.random() < self.loss_rate
        ):
            return
        arrives_s = self.now_s + self.random.uniform(0.001, self.max_delay_s)
        # Links deliver messages in order.
        last_s = max(
            (
                b.arrives_s
                for n, b in self._heartbeats
                if (n, b.sender) == (receiver, heartbeat.sender)
            ),
            default=0.0,
        )
        self._heartbeats.append(
            (
                receiver,
                Heartbeat(
                    heartbeat.sender,
                    heartbeat.sent_s,
                    heartbeat.echo_s,
                    heartbeat.names,
                    heartbeat.news,
                    max(arrives_s, last_s),
                ),
            )
        )

    def record_arrival(self, entry: LimitEntry) -> None:
        self.arrivals.append((self.now_s, entry.name))
        self._answers.append((self.now_s + ANSWER_DELAY_S, entry.name, self.limit_per_s))

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for entry in list(self.entries.values()):
                if self.now_s < entry.paused_until_s:
                    continue
                if self.now_s >= entry.next_heartbeat_s:
                    entry.next_heartbeat_s = self.now_s + HEARTBEAT_INTERVAL_S
                    entry.send_heartbeats()
                entry.maybe_send_request()

    def _deliver(self) -> None:
        due = [each for each in self._heartbeats if each[1].arrives_s <= self.now_s]
        self._heartbeats = [each for each in self._heartbeats if each[1].arrives_s > self.now_s]
        for receiver, heartbeat in due:
            entry = self.entries.get(receiver)
            if entry is None:
                continue
            if self.now_s < entry.paused_until_s:
                self._heartbeats.append((receiver, heartbeat))
                continue
            entry.on_heartbeat(heartbeat)
        answers = [each for each in self._answers if each[0] <= self.now_s]
        self._answers = [each for each in self._answers if each[0] > self.now_s]
        for _, name, limit_per_s in answers:
            if name in self.entries:
                self.entries[name].limits.record_limit(TARGET, LimitNotice(limit_per_s, self.now_s))

    def count_arrivals(self, since_s: float, until_s: float) -> int:
        return sum(since_s <= at_s < until_s for at_s, _ in self.arrivals)

    def max_per_window(self, since_s: float, excluded: frozenset[str] = frozenset()) -> int:
        """Return the most requests that arrived within any window since a time."""
        at_s = [at for at, name in self.arrivals if at >= since_s and name not in excluded]
        return max(
            (sum(one <= each < one + LIMIT_WINDOW_S for each in at_s) for one in at_s), default=0
        )


__all__ = ["LIMIT_WINDOW_S", "LimitWorld"]
