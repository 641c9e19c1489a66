# SPDX-License-Identifier: Apache-2.0
"""Simulate one day of an experiment against the groups that the coordinator forms."""

import math
import random
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ochreway_core.ids import DomainId, GroupId, InstanceId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.demand import work_s
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.enginestate import MemberPhase
from ochreway_direct.ids import ModelName
from ochreway_standins.engineworld import FOREVER_S, STEP_S, EngineWorld, FakeEngine
from ochreway_standins.grouplab.experiment import Burst, Experiment, RequestFigures
from ochreway_standins.grouplab.groupserver import GroupServer
from ochreway_standins.grouplab.request import Outcome, Request

LOSS_DETECTION_S = 0.45
"""Delay until callers of a lost group retry: 0.3 s of silence and a probe, as on played days."""
MAX_QUEUED = 3
"""Maximum number of requests that wait at a group beyond its slots, as in the relay."""
MAX_WAIT_FRACTION = 0.1
"""Fraction of its objective for which a request may wait for a group, as in the relay."""
RETRY_DELAY_S = 0.8
"""Delay of the single retry of a refused request."""
FIRST_PART_TOKENS = 5.0
"""Tokens that are generated before the first part of an answer reaches the caller."""
LISTING_DELAY_S = 0.8
"""Delay until the instance list shows an added engine."""
RELISTING_DELAY_RANGE_S = (0.2, 1.0)
"""Bounds of the delay until the list shows an engine of a restored domain."""
WINDOW_S = 2.0
"""Length of the windows of arrival times over which ``DayResult.worst`` is computed."""
WORST_WINDOWS = 2
"""Number of windows of lowest worth that ``DayResult.worst`` averages."""
MIN_ANSWER_TOKENS = 5.0
"""Lower bound of the drawn answer lengths."""


@dataclass(frozen=True, slots=True)
class DayResult:
    """Worth of a day and the outcomes of its requests as shares of those offered, and its costs.

    ``stranded`` is the share of live engines' time spent outside serving groups.
    """

    worth: float
    worst: float
    in_time: float
    late: float
    refused: float
    stranded: float
    loads: float
    traded: float


@dataclass(frozen=True, slots=True)
class _Retry:
    request: Request
    at_s: float


class Day:
    """Simulate one day; the decisions are made by the coordinator of ``ochreway_direct``."""

    def __init__(self, experiment: Experiment, seed: int, tuning: CoordinatorTuning) -> None:
        self._experiment = experiment
        self._spec = experiment.spec()
        self.world = EngineWorld(
            domains=experiment.fleet.domains,
            engines=experiment.fleet.engines_per_domain,
            seed=seed,
            lag_s=experiment.fleet.listed_within_s,
            tuning=tuning,
            spec=self._spec,
        )
        self.world.load_speed = experiment.loads.early_speed
        self._rng = random.Random(seed)
        self._burst_rng = random.Random(seed)
        self._meter = DemandMeter()
        self.servers: dict[GroupId, GroupServer] = {}
        self._waiting: list[Request] = []
        self._retries: list[_Retry] = []
        self._outcomes: list[tuple[Request, Outcome]] = []
        self._begin_s = self.world.now_s + experiment.lead_s
        self._lost_domain_engines: list[FakeEngine] = []
        self._holder_absent_s = 0.0
        self._stranded_shares: list[float] = []
        self._loads = 0
        self._loading: set[tuple[InstanceId, ModelName]] = set()
        self._traded_groups: set[GroupId] = set()
        self.bursts = self._draw_bursts(experiment.bursts)
        self._events: list[tuple[float, Callable[[], None]]] | None = None

    def play(self) -> DayResult:
        """Simulate the whole day and return its result."""
        self.play_until(self._experiment.day_s)
        self._count_unfinished()
        return self._result()

    @property
    def played_s(self) -> float:
        """Return the time since the first requests could arrive."""
        return self.world.now_s - self._begin_s

    def play_until(self, until_s: float) -> None:
        """Advance until ``played_s`` reaches ``until_s``."""
        if self._events is None:
            self.world.run(self._experiment.lead_s)
            self.world.load_speed = 1.0
            self._events = self._schedule_events()
        events = self._events
        while self.played_s < until_s:
            while events and events[0][0] <= self.world.now_s:
                events.pop(0)[1]()
            self._tick()

    def _draw_bursts(self, bursts: Iterable[Burst]) -> tuple[Burst, ...]:
        """Return the bursts of this day; a common random shift keeps equal times together."""
        shift_s = self._burst_rng.uniform(0.0, 1.0)
        return tuple(replace(each, at_s=each.at_s + shift_s * each.spread_s) for each in bursts)

    # Failures and other events

    def _schedule_events(self) -> list[tuple[float, Callable[[], None]]]:
        losses, day_s = self._experiment.losses, self._experiment.day_s
        events: list[tuple[float, Callable[[], None]]] = []
        if losses.domain_for_s:
            events.append((losses.domain_at_s, self._lose_domain))
            events.append((losses.domain_at_s + losses.domain_for_s, self._restore_domain))
        if losses.holder_for_s:
            events.append((losses.holder_at_s, self._lose_holder))
        if losses.leaving_share:
            events.append((losses.leaving_at_s, self._announce_leaving))
        events += [
            (at, self._lose_engine)
            for at in self._draw_times(2.0, losses.engine_every_s, day_s - 4.0)
        ]
        added = self._draw_times(losses.added_from_s, losses.added_every_s, day_s)
        events += [(at, self._add_engine) for at in added]
        timed = [(self._begin_s + at, call) for at, call in events]
        return sorted(timed, key=lambda event: event[0])

    def _draw_times(self, from_s: float, every_s: float, until_s: float) -> list[float]:
        times_s: list[float] = []
        at_s = from_s + every_s * self._rng.uniform(0.0, 0.5)
        while every_s and at_s < until_s:
            times_s.append(at_s)
            at_s += every_s * self._rng.uniform(0.7, 1.3)
        return times_s

    def _alive_engines(self) -> list[FakeEngine]:
        return [each for each in self.world.engines.values() if each.alive]

    def _random_domain(self) -> DomainId:
        return DomainId(f"d{self._rng.randrange(self._experiment.fleet.domains)}")

    def _lose_engine(self) -> None:
        domain = self._random_domain()
        alive = [
            each for each in self._alive_engines() if each.domain == domain
        ] or self._alive_engines()
        joined = [each for each in alive if each.membership is not None]
        self._rng.choice(joined or alive).alive = False

    def _add_engine(self) -> None:
        self.world.add(self._random_domain()).listed_s = self.world.now_s + LISTING_DELAY_S

    def _lose_domain(self) -> None:
        domain = self._random_domain()
        self._lost_domain_engines = [
            each for each in self._alive_engines() if each.domain == domain
        ]
        for engine in self._lost_domain_engines:
            engine.alive = False

    def _restore_domain(self) -> None:
        for engine in self._lost_domain_engines:
            restored = self.world.add(engine.domain, engine.staged)
            restored.listed_s = self.world.now_s + self._rng.uniform(*RELISTING_DELAY_RANGE_S)

    def _announce_leaving(self) -> None:
        alive = self._alive_engines()
        number = int(self._experiment.losses.leaving_share * len(alive))
        for engine in self._rng.sample(alive, number):
            engine.leaving = True

    def _lose_holder(self) -> None:
        self._holder_absent_s = self._experiment.losses.holder_for_s

    # Simulation step

    def _tick(self) -> None:
        if self._holder_absent_s <= 0.0:
            self.world.step()
        else:
            self.world.pass_time(STEP_S)
            self._holder_absent_s -= STEP_S
            if self._holder_absent_s <= 0.0:
                self._take_over()
        now_s = self.world.now_s
        self._add_arrivals(now_s)
        self._update_servers()
        self._assign_requests(now_s)
        for server in self.servers.values():
            self._outcomes += [(each, _outcome(each)) for each in server.tick(now_s, STEP_S)]
        self.world.coordinator.demand.update(self._meter.offered(now_s), now_s)
        self._record_engine_use()

    def _take_over(self) -> None:
        """Let another process take over, which has followed the offered load all along."""
        followed = self.world.coordinator.demand
        self.world.take_over()
        demand = self.world.coordinator.demand
        demand.offered, demand.measured_since_s = followed.offered, followed.measured_since_s

    def _add_arrivals(self, now_s: float) -> None:
        for figures in self._experiment.requests:
            expected = self._rate(figures, now_s - self._begin_s) * STEP_S
            for _ in range(_poisson(self._rng, expected)):
                self._waiting.append(self._draw_request(figures, now_s))
        retried = [each.request for each in self._retries if each.at_s <= now_s]
        self._retries = [each for each in self._retries if each.at_s > now_s]
        for request in retried:
            request.due_s = now_s + MAX_WAIT_FRACTION * request.figures.objective_ms / 1000
        self._waiting += retried

    def _rate(self, figures: RequestFigures, at_s: float) -> float:
        wave = self._experiment.wave
        rate = figures.per_s
        if wave.period_s:
            rate *= 1.0 + wave.swing * math.sin(2 * math.pi * at_s / wave.period_s)
        for burst in self.bursts:
            if burst.request == figures.name and burst.at_s <= at_s < burst.at_s + burst.for_s:
                rate *= burst.factor
        return rate

    def _draw_request(self, figures: RequestFigures, now_s: float) -> Request:
        size = _lognormal(self._rng, figures.spread)
        answer = max(
            MIN_ANSWER_TOKENS, figures.answer_tokens * _lognormal(self._rng, figures.spread)
        )
        prompt = figures.prompt_tokens * size
        model = ModelName(figures.model)
        guess = int(figures.answer_tokens)
        self._meter.record_work(model, work_s(self._spec, model, int(prompt), guess), now_s)
        due_s = now_s + MAX_WAIT_FRACTION * figures.objective_ms / 1000
        return Request(figures, now_s, prompt, answer, FIRST_PART_TOKENS, due_s)

    def _update_servers(self) -> None:
        """Create servers for complete groups, and retry the requests of groups that were lost."""
        open_servers: dict[GroupId, GroupServer] = {}
        views_by_group = {view.group: view for view in self.world.coordinator.views()}
        for engine in self.world.engines.values():
            membership = engine.membership
            if membership is None or not self._leads_complete_group(engine):
                continue
            group = membership.group
            server = self.servers.get(group)
            if server is None and group in views_by_group:
                server = GroupServer(self._spec, self._pace(engine))
            if server is not None:
                open_servers[group] = server
        for group, server in self.servers.items():
            if group not in open_servers:
                self._retry_interrupted(server)
        self.servers = open_servers
        self._finish_closing_groups()

    def _finish_closing_groups(self) -> None:
        """Keep closing groups running until their requests have ended."""
        for engine in self.world.engines.values():
            membership = engine.membership
            server = self.servers.get(membership.group) if membership is not None else None
            if membership is None or server is None or membership.rank != 0:
                continue
            engine.busy_for_s = FOREVER_S if server.load else 0.0
            if membership.phase is MemberPhase.CLOSING and not server.load:
                engine.ends_s = self.world.now_s

    def _retry_interrupted(self, server: GroupServer) -> None:
        retry_at_s = self.world.now_s + LOSS_DETECTION_S
        for request in server.running:
            request.interrupted = request.interrupted or request.first_part_s is not None
            request.prompt_tokens_left = request.figures.prompt_tokens
            self._retries.append(_Retry(request, retry_at_s))

    def _leads_complete_group(self, engine: FakeEngine) -> bool:
        """Return whether an engine leads a complete group that is open or closing."""
        membership = engine.membership
        if not engine.alive or membership is None or membership.rank != 0:
            return False
        complete = all(self._is_current_member(engine, each) for each in engine.members)
        return complete and membership.phase.value in ("open", "closing")

    def _is_current_member(self, leader: FakeEngine, instance: InstanceId) -> bool:
        member = self.world.engines[instance]
        return member.alive and member.members == leader.members and member.membership is not None

    def _pace(self, leader: FakeEngine) -> float:
        model = self._spec.model(leader.model) if leader.model is not None else None
        domains = {self.world.engines[each].domain for each in leader.members}
        far = 1.0 if len(domains) == 1 else self._spec.far_factor
        return far * (model.pace if model is not None else 1.0)

    def _assign_requests(self, now_s: float) -> None:
        models_by_group = {view.group: view.model for view in self.world.coordinator.views()}
        still_waiting = []
        for request in self._waiting:
            candidates = [
                server
                for group, server in self.servers.items()
                if models_by_group.get(group) == request.figures.model
                and server.load < self._spec.slots + MAX_QUEUED
            ]
            if candidates:
                least_loaded = min(candidates, key=lambda each: each.pace * (1 + each.load))
                least_loaded.running.append(request)
            elif now_s < request.due_s:
                still_waiting.append(request)
            else:
                self._refuse(request, now_s)
        self._waiting = still_waiting

    def _refuse(self, request: Request, now_s: float) -> None:
        if request.refused:
            self._outcomes.append((request, Outcome.REFUSED))
            return
        request.refused = True
        self._retries.append(_Retry(request, now_s + RETRY_DELAY_S))

    def _record_engine_use(self) -> None:
        alive = self._alive_engines()
        used = sum(
            len(each.members)
            for each in alive
            if each.membership is not None and each.membership.group in self.servers
            if each.membership.rank == 0
        )
        self._stranded_shares.append(1.0 - used / max(1, len(alive)))
        loading = {(e.instance, e.loading) for e in alive if e.loading is not None}
        self._loads += len(loading - self._loading)
        self._loading = loading
        self._traded_groups |= {
            name
            for name, group in self.world.coordinator.groups.items()
            if group.cause.value == "traded"
        }

    # Results

    def _count_unfinished(self) -> None:
        """Count running requests that have begun their answers."""
        for server in self.servers.values():
            self._outcomes += [
                (each, _outcome(each)) for each in server.running if each.first_part_s
            ]

    def _result(self) -> DayResult:
        offered = sum(request.figures.worth for request, _ in self._outcomes) or 1.0
        numbers = Counter(outcome for _, outcome in self._outcomes)
        total = max(1, len(self._outcomes))
        return DayResult(
            worth=sum(_worth(*each) for each in self._outcomes) / offered,
            worst=self._worst_windows_worth(),
            in_time=numbers[Outcome.IN_TIME] / total,
            late=numbers[Outcome.LATE] / total,
            refused=numbers[Outcome.REFUSED] / total,
            stranded=statistics.fmean(self._stranded_shares),
            loads=float(self._loads),
            traded=float(len(self._traded_groups)),
        )

    def _worst_windows_worth(self) -> float:
        windows: dict[int, list[tuple[Request, Outcome]]] = {}
        for request, outcome in self._outcomes:
            window = int((request.arrived_s - self._begin_s) / WINDOW_S)
            windows.setdefault(window, []).append((request, outcome))
        shares = sorted(
            sum(_worth(*each) for each in found) / sum(r.figures.worth for r, _ in found)
            for found in windows.values()
        )
        return statistics.fmean(shares[:WORST_WINDOWS])


def _outcome(request: Request) -> Outcome:
    return Outcome.IN_TIME if request.in_time else Outcome.LATE


def _worth(request: Request, outcome: Outcome) -> float:
    return {
        Outcome.IN_TIME: request.figures.worth,
        Outcome.LATE: request.figures.late_worth,
        Outcome.REFUSED: 0.0,
    }[outcome]


def _poisson(rng: random.Random, expected: float) -> int:
    """Draw the number of events from a Poisson distribution with mean ``expected``."""
    limit, product, number = math.exp(-expected), rng.random(), 0
    while product > limit:
        product *= rng.random()
        number += 1
    return number


def _lognormal(rng: random.Random, spread: float) -> float:
    """Draw a log-normal factor with mean 1 and coefficient of variation ``spread``."""
    sigma = math.sqrt(math.log(1.0 + spread * spread))
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def play(experiment: Experiment, seed: int, tuning: CoordinatorTuning) -> DayResult:
    """Simulate the day that ``seed`` determines."""
    return Day(experiment, seed, tuning).play()


__all__ = ["Day", "DayResult", "play"]
