# SPDX-License-Identifier: Apache-2.0
"""Entries that share the limits of targets over links that fail, in virtual time."""

import random
from dataclasses import dataclass, field

from ochreway_core.ids import HallId, InstanceId, NodeId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.standingshare import StandingShare
from ochreway_direct.targetlimits.limitgate import LimitGate
from ochreway_direct.targetlimits.limitpool import LimitPool
from ochreway_direct.targetlimits.limitsharing import LimitSharing
from ochreway_direct.targetlimits.poolnews import PoolNews
from ochreway_routing.targetlimits import LimitNotice, TargetLimits
from tests.runtime.recordedlog import RecordedLog

TARGET = InstanceId("i-1")
STEP_S = 0.02
BEAT_S = 0.3
ALIVE_S = 1.0
ANSWERED_S = 0.05
SPAN_S = 4.0


@dataclass(frozen=True, slots=True)
class Beat:
    """Hold what a heartbeat says of these matters."""

    sender: NodeId
    sent_s: float
    echo_s: float | None
    names: tuple[NodeId, ...]
    news: PoolNews
    arrives_s: float


class LimitEntry:
    """Own an entry's gate, its pool and its clock."""

    def __init__(self, world: "LimitWorld", name: NodeId, seeds: int) -> None:
        self._world = world
        self.name = name
        self.began_s = world.now_s
        self.standing = StandingShare(name, seeds, self.began_s)
        self.limits = TargetLimits()
        self.pool = LimitPool(name, self.standing, self.began_s)
        self.gate = LimitGate(self.limits, self.pool)
        self.asked = 0
        self.sharing = LimitSharing(self.limits, self.pool, lambda: self.asked, RecordedLog())
        self.heard: dict[NodeId, tuple[float, float]] = {}
        self.names: set[NodeId] = set()
        self.paused_until_s = 0.0
        self.asks_per_s = 10.0
        self.beat_s = world.random.uniform(0.0, BEAT_S) + self.began_s

    def alive(self) -> list[NodeId]:
        now_s = self._world.now_s
        return [n for n, (at_s, _) in self.heard.items() if now_s - at_s < ALIVE_S]

    def beat(self) -> None:
        now_s = self._world.now_s
        alive = self.alive()
        self.standing.learn(self.names, bool(alive), now_s)
        self.sharing.beat(sorted([*self.heard, self.name]), True, now_s)
        for peer in self._world.names():
            if peer != self.name:
                echo_s = self.heard[peer][1] if peer in self.heard else None
                news = self.sharing.news_for(peer, now_s)
                names = (*self.names, self.name)
                self._world.send(peer, Beat(self.name, now_s, echo_s, names, news, 0.0))

    def hear(self, beat: Beat) -> None:
        now_s = self._world.now_s
        self.heard[beat.sender] = (now_s, beat.sent_s)
        self.names.update(each for each in beat.names if each != self.name)
        echo_s = beat.echo_s if beat.echo_s is not None and beat.echo_s >= self.began_s else None
        self.sharing.hear(beat.sender, beat.news, echo_s, 0.0, now_s)

    def step(self) -> None:
        """Send a request if one comes and the target may be sent it."""
        if self._world.random.random() >= self.asks_per_s * STEP_S:
            return
        now_s = self._world.now_s
        self.asked += 1
        if self.gate.wait_s(TARGET, None, now_s) > 0.0:
            return
        attempt = Attempt(TARGET, "address", HallId("h"), TARGET, begun_s=now_s)
        attempt.record_written(now_s)
        self.gate.sent(attempt)
        self._world.arrived(self)


@dataclass
class LimitWorld:
    """Let time pass; ``limit_per_s`` is what the target names now."""

    seed: int
    seeds: int
    limit_per_s: float | None = None
    now_s: float = 100.0
    lost_part: float = 0.0
    slowest_s: float = 0.05
    arrivals: list[tuple[float, NodeId]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.entries: dict[NodeId, LimitEntry] = {}
        self.cut: set[frozenset[NodeId]] = set()
        self._beats: list[tuple[NodeId, Beat]] = []
        self._answers: list[tuple[float, NodeId, float | None]] = []

    def names(self) -> list[NodeId]:
        return list(self.entries)

    def enter(self, name: str) -> LimitEntry:
        node = NodeId(name)
        self.entries[node] = LimitEntry(self, node, self.seeds)
        return self.entries[node]

    def leave(self, name: str) -> None:
        del self.entries[NodeId(name)]

    def cut_off(self, *names: str) -> None:
        """Cut some entries off from all the others, not from each other."""
        away = set(map(NodeId, names))
        for one in self.entries:
            self.cut |= {frozenset((one, each)) for each in away if one not in away}

    def send(self, to: NodeId, beat: Beat) -> None:
        if frozenset((to, beat.sender)) in self.cut or self.random.random() < self.lost_part:
            return
        arrives_s = self.now_s + self.random.uniform(0.001, self.slowest_s)
        # Links keep the order of what is sent over them.
        last_s = max(
            (b.arrives_s for n, b in self._beats if (n, b.sender) == (to, beat.sender)), default=0.0
        )
        self._beats.append(
            (
                to,
                Beat(
                    beat.sender,
                    beat.sent_s,
                    beat.echo_s,
                    beat.names,
                    beat.news,
                    max(arrives_s, last_s),
                ),
            )
        )

    def arrived(self, entry: LimitEntry) -> None:
        self.arrivals.append((self.now_s, entry.name))
        self._answers.append((self.now_s + ANSWERED_S, entry.name, self.limit_per_s))

    def run(self, for_s: float) -> None:
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for entry in list(self.entries.values()):
                if self.now_s < entry.paused_until_s:
                    continue
                if self.now_s >= entry.beat_s:
                    entry.beat_s = self.now_s + BEAT_S
                    entry.beat()
                entry.step()

    def _deliver(self) -> None:
        due = [each for each in self._beats if each[1].arrives_s <= self.now_s]
        self._beats = [each for each in self._beats if each[1].arrives_s > self.now_s]
        for to, beat in due:
            entry = self.entries.get(to)
            if entry is None:
                continue
            if self.now_s < entry.paused_until_s:
                self._beats.append((to, beat))
                continue
            entry.hear(beat)
        answers = [each for each in self._answers if each[0] <= self.now_s]
        self._answers = [each for each in self._answers if each[0] > self.now_s]
        for _, name, limit_per_s in answers:
            if name in self.entries:
                self.entries[name].limits.record_limit(TARGET, LimitNotice(limit_per_s, self.now_s))

    def came(self, since_s: float, until_s: float) -> int:
        return sum(since_s <= at_s < until_s for at_s, _ in self.arrivals)

    def busiest(self, since_s: float, excused: frozenset[str] = frozenset()) -> int:
        """Return the most that came within a span since a time."""
        at_s = [at for at, name in self.arrivals if at >= since_s and name not in excused]
        return max((sum(one <= each < one + SPAN_S for each in at_s) for one in at_s), default=0)


__all__ = ["SPAN_S", "LimitWorld"]
