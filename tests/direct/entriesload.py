# SPDX-License-Identifier: Apache-2.0
"""Callers of several entries in virtual time, which hear of each other by heartbeats."""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ochreway_core.ids import Epoch, Fingerprint, GroupId, HallId, InstanceId, NodeId
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.remotework import RemoteWork
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import CellId
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.queueing.waitingcalls import NO_WAITING_CALLS, count_waiting
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.work import Work, bounded_work, subtract_work, sum_work
from ochreway_standins.engineworld import LARGE, SERVICE, SPEC
from tests.direct.queueload import BEYOND, FIRST_PART_S, OBJECTIVES_S, RUN_S, SLOTS, STEP_S

HEARTBEAT_S = 0.3
DELAY_S = 0.02
CELL_ENTRIES = 12
MESH_ENTRIES = 24
HALL = HallId("h")
ENGINE = replace(SPEC, slots=SLOTS)


@dataclass(slots=True)
class Seen:
    """Hold what is measured.

    ``passed_s`` are the times for which more urgent calls elsewhere had waited, for each call
    that was admitted before them; ``idle_s`` sums the time of slots unused while calls waited,
    ``longest_idle_s`` is the longest of one slot, and ``busy_s`` sums the time of slots used.
    """

    admitted: Counter[str] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    offered: Counter[int] = field(default_factory=Counter)
    passed_s: list[float] = field(default_factory=list)
    idle_s: float = 0.0
    busy_s: float = 0.0
    longest_idle_s: float = 0.0


class Site:
    """An entry with its queue, its callers and what it has heard."""

    def __init__(self, number: int, groups: list[GroupView]) -> None:
        self.name, self.cell = NodeId(f"e{number}"), number // CELL_ENTRIES
        self.head = number % CELL_ENTRIES == 0
        self.up = self.linked = True
        self.fleet = Fleet(HALL, random.Random(number))
        self.fleet.set_groups(groups)
        self.remote = RemoteWork(self.fleet)
        self.queue = CallQueue(ENGINE, BEYOND, 12, random.Random(number), QueueTuning())
        self.queue.forecast.first_part_s = FIRST_PART_S
        for _ in range(100):
            self.queue.forecast.record_run(RUN_S)
        self.waiting: set[WaitingCall] = set()
        self.running: list[tuple[float, str, Attempt]] = []

    def facts(self, now_s: float) -> PlaceFacts:
        return self.fleet.place_facts(SERVICE, LARGE.name, SLOTS, None, now_s)

    def work(self, told: bool) -> Work:
        waiting = count_waiting([(LARGE.name, self.queue.by_class())])
        served_by = Counter(organisation for _, organisation, _ in self.running)
        return Work(
            dict(self.fleet.under_way()),
            waiting=waiting if told else NO_WAITING_CALLS,
            served_by=dict(served_by) if told else {},
        )

    def pick(self, _: WaitingCall, beyond: int) -> Attempt | None:
        group = self.fleet.pick_group(SERVICE, LARGE.name, (), ENGINE, beyond)
        if group is None:
            return None
        return Attempt(group.leader, "a", HALL, group.group, group=group.group)


class Entries:
    """Step entries; with ``told`` false they say nothing of their queues."""

    def __init__(self, count: int, told: bool = True) -> None:
        number = max(1, count // 3)
        self.groups = [
            GroupView(
                *(GroupId(f"g{n}"), Epoch(1), SERVICE, LARGE.name, InstanceId(f"t{n}"), "a", HALL)
            )
            for n in range(number)
        ]
        self.slots, self.told, self.seen, self.now_s = number * SLOTS, told, Seen(), 0.0
        self.sites = [Site(n, self.groups) for n in range(count)]
        self._ends: dict[str, list[float]] = {each.group: [] for each in self.groups}
        self._news: list[tuple[float, Callable[[], None]]] = []
        self._random = random.Random(3)
        self._idle_from_s: deque[float] = deque()

    def offer(self, site: Site, priority: int, organisation: str) -> None:
        objective_s, now_s = OBJECTIVES_S[priority], self.now_s
        self.seen.offered[priority] += 1
        waiting = WaitingCall(
            *(Fingerprint(f"{self._random.random()}"), organisation, priority, priority),
            *(RUN_S, now_s, now_s + objective_s, now_s + 2.0 * objective_s, 0.1 * objective_s),
        )
        facts = site.facts(now_s)
        site.queue.advance(facts, now_s)
        offered = site.queue.offer(waiting, facts, max(OBJECTIVES_S.values()), now_s)
        if offered.is_ok():
            site.waiting.add(waiting)
            displaced = offered.unwrap()
            if displaced is not None:
                site.waiting.discard(displaced)

    def step(self) -> None:
        self.now_s = round(self.now_s + STEP_S, 6)
        now_s = self.now_s
        for due in [each for each in self._news if each[0] <= now_s]:
            self._news.remove(due)
            due[1]()
        for number, site in enumerate(self.sites):
            beat = round((now_s + number * 0.07) / STEP_S) % round(HEARTBEAT_S / STEP_S) == 0
            if beat and site.up:
                site.remote.expire(now_s)
                self._beat(site)
        for site in self._random.sample(self.sites, len(self.sites)):
            self._end_answers(site)
            if site.up and site.waiting:
                self._serve(site)
        busy = sum(min(SLOTS, sum(e > now_s for e in ends)) for ends in self._ends.values())
        idle = self.slots - busy if any(each.waiting for each in self.sites if each.up) else 0
        self.seen.idle_s += idle * STEP_S
        self.seen.busy_s += busy * STEP_S
        while len(self._idle_from_s) > idle:
            self._idle_from_s.popleft()
        self._idle_from_s.extend([now_s] * (idle - len(self._idle_from_s)))
        if self._idle_from_s:
            idle_s = now_s - self._idle_from_s[0]
            self.seen.longest_idle_s = max(self.seen.longest_idle_s, idle_s)

    def kill(self, site: Site) -> None:
        site.up = False
        site.waiting.clear()
        for _, _, attempt in site.running:
            site.fleet.end(attempt, False)
        site.running.clear()

    def _end_answers(self, site: Site) -> None:
        for each in [each for each in site.running if each[0] <= self.now_s]:
            site.running.remove(each)
            site.fleet.end(each[2], False)
            site.queue.release(each[1])

    def _serve(self, site: Site) -> None:
        now_s, facts_of = self.now_s, lambda _: site.facts(self.now_s)
        site.queue.advance(facts_of(None), now_s)
        while True:
            turn = site.queue._queue.turn()
            taken = site.queue.take(site.pick, facts_of, now_s)
            if taken is None:
                break
            self._begin(site, *taken, turn is not None and turn.item is taken[0])
        for waiting, forecast in site.queue.call_forecasts(facts_of, now_s):
            if forecast.refused_in_s < 0.0:
                site.queue.leave(waiting)
                site.waiting.discard(waiting)

    def _begin(self, site: Site, waiting: WaitingCall, attempt: Attempt, turn: bool) -> None:
        now_s, urgency = self.now_s, waiting.work().urgency
        site.waiting.discard(waiting)
        site.fleet.begin(attempt)
        ends = self._ends[attempt.group or ""]
        ends[:] = sorted(each for each in ends if each > now_s)
        slot_s = now_s if len(ends) < SLOTS else ends[-SLOTS]
        end_s = slot_s + RUN_S * self._random.uniform(0.5, 1.5)
        ends.append(end_s)
        site.running.append((end_s, waiting.organisation, attempt))
        self.seen.admitted[waiting.organisation] += 1
        self.seen.in_time[waiting.priority] += slot_s + FIRST_PART_S <= waiting.objective_end_s
        site.queue.forecast.record_first_part(slot_s + FIRST_PART_S - now_s)
        if turn or not site.linked:
            return
        self.seen.passed_s.extend(
            now_s - other.entered_s
            for each in self.sites
            if each is not site and each.up and each.linked
            for other in each.waiting
            if other.work().urgency < urgency
        )

    def _beat(self, site: Site) -> None:
        own, heard = site.work(self.told), site.remote
        for other in self.sites:
            if other is site or not (other.up and site.linked and other.linked):
                continue
            if len(self.sites) <= MESH_ENTRIES:
                coverage, work = Coverage.OWN, own
            elif site.cell != other.cell:
                if not (site.head and other.head):
                    continue
                coverage, work = Coverage.CELL, sum_work((own, *heard.member_work()))
            elif site.head:
                coverage = Coverage.REST
                work = subtract_work(sum_work((own, heard.total_work())), heard.work_of(other.name))
            elif other.head:
                coverage, work = Coverage.OWN, own
            else:
                continue
            self._send(site, other, coverage, bounded_work(work))

    def _send(self, site: Site, other: Site, coverage: Coverage, work: Work) -> None:
        def receive() -> None:
            if other.up and other.linked:
                cell = CellId(f"{site.cell}")
                other.remote.add_report(site.name, coverage, cell, (), work, self.now_s)

        self._news.append((self.now_s + DELAY_S, receive))


__all__ = ["Entries", "Seen", "Site"]
