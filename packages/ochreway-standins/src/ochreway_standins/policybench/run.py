# SPDX-License-Identifier: Apache-2.0
"""One run of one policy under one scenario, driving the product's own decisions."""

import random
from dataclasses import dataclass, field, replace
from functools import partial

from hdrh.histogram import HdrHistogram

from ochreway_core.bundle import Organisation
from ochreway_core.ids import GroupId, HallId, NodeId
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_nodes.entry.subset import follows
from ochreway_routing.limits import Limits
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.retry import Action, next_action
from ochreway_routing.router import Router
from ochreway_standins.policybench.fakereplica import SLOTS, FakeReplica, Job
from ochreway_standins.policybench.scenario import Scenario
from ochreway_standins.policybench.workload import ORGANISATIONS, Ask, Workload
from ochreway_standins.soak.clock import Clock

CAPACITY_PER_REPLICA_S = 9.7
"""Requests a second that keep a replica's slots busy when nothing waits for prefill."""
WARM_S = 20.0
SLOWNESS = 4.0


@dataclass(slots=True)
class Score:
    """Collect what a run is judged by."""

    asked: int = 0
    in_time: int = 0
    attempts: int = 0
    first_token_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    small_asked: int = 0
    small_in_time: int = 0
    reasons: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Trial:
    """Follow one request through its attempts."""

    ask: Ask
    entry: int
    tried: frozenset[GroupId] = frozenset()
    attempts: int = 0
    answered: bool = False


class PolicyRun:
    """Several entries decide without talking; replicas report late."""

    def __init__(
        self,
        policy: str,
        scenario: Scenario,
        seed: int,
        replicas: int,
        entries: int,
        measured_s: float,
        warm_s: float = WARM_S,
    ) -> None:
        rng = random.Random(seed)
        self.clock = Clock()
        self.score = Score()
        self._sequence = 0
        self._scenario = scenario
        self._random = rng
        self._warm_s = warm_s
        self._end_s = warm_s + measured_s
        rate = CAPACITY_PER_REPLICA_S * replicas * scenario.load
        self._workload = Workload(random.Random(seed + 1), rate)
        self.replicas = {
            GroupId(f"g{index}"): FakeReplica(GroupId(f"g{index}"), self.clock, rng)
            for index in range(replicas)
        }
        self._break_some(replicas)
        self.routers = [self._router(policy, index, entries) for index in range(entries)]
        self._followers = {
            group: [each for each in enumerate(self.routers) if group in each[1].replicas]
            for group in self.replicas
        }
        self.limits = [self._limits(entries) for _ in range(entries)]
        for replica in self.replicas.values():
            replica.queue.set_shares((f"org{index}", 1, 0) for index in range(ORGANISATIONS))
            self.clock.after(rng.random() * scenario.report_every_s, partial(self._report, replica))

    def _break_some(self, count: int) -> None:
        names = sorted(self.replicas)
        for name in names[: self._scenario.slow_replicas]:
            self.replicas[name].slowness = SLOWNESS
        for name in names[: round(count * self._scenario.failing_share)]:
            self.replicas[name].failing = True

    def _router(self, policy: str, index: int, entries: int) -> Router:
        router = Router("h", random.Random(index), policy=policy)
        names = sorted(self.replicas)
        groups = [
            group for place, group in enumerate(names) if follows(index, entries, place, len(names))
        ]
        router.set_replicas(
            ReplicaView(
                group=group,
                target="m",
                leader=Peer(NodeId(group), ""),
                hall=HallId("h"),
                slots=SLOTS,
            )
            for group in groups
        )
        return router

    def _limits(self, entries: int) -> Limits:
        limits = Limits()
        limits.configure(
            [
                Organisation(
                    name=f"org{index}",
                    token_sha256="0" * 64,
                    max_in_flight=1_000_000,
                    max_tokens_in_flight=1_000_000_000,
                    requests_per_s=1e6,
                )
                for index in range(ORGANISATIONS)
            ],
            entries,
        )
        return limits

    def _report(self, replica: FakeReplica) -> None:
        report = replica.report()

        received = dict(replica.received)

        def arrive() -> None:
            for index, router in self._followers[replica.group]:
                own = replace(report, received=received.get(index, 0))
                router.on_load_report(own, self.clock.now_s)

        self.clock.after(self._scenario.report_lag_s, arrive)
        self.clock.after(self._scenario.report_every_s, partial(self._report, replica))

    def go(self) -> Score:
        """Run to the end."""
        for ask in self._workload.asks(self._end_s):
            self.clock.run_until(ask.asked_s)
            self._begin(ask)
        self.clock.run_until(self._end_s + 15.0)
        return self.score

    def _begin(self, ask: Ask) -> None:
        trial = Trial(ask, self._random.randrange(len(self.routers)))
        self.limits[trial.entry].admit(ask.organisation, 1, self.clock.now_s)
        if ask.asked_s >= self._warm_s:
            self.score.asked += 1
            self.score.small_asked += ask.organisation == f"org{ORGANISATIONS - 1}"
        self._attempt(trial)

    def _attempt(self, trial: Trial) -> None:
        ask, now_s = trial.ask, self.clock.now_s
        router = self.routers[trial.entry]
        query = RouteQuery(
            "m",
            ask.caller,
            ask.blocks,
            ask.prompt_tokens,
            ask.max_tokens,
            ask.priority,
            ask.deadline_s,
        )
        chosen = router.choose(query, trial.tried, now_s)
        if chosen.is_err():
            self._given_up(trial, chosen.unwrap_err().reason)
            return
        view = chosen.unwrap()
        trial.tried |= {view.group}
        trial.attempts += 1
        self.score.attempts += ask.asked_s >= self._warm_s
        name = f"{ask.number}.{trial.attempts}"
        expected_s = router.expected_first_token_s(query, view, now_s)
        self._sequence += 1
        router.record_sent(view, name, self._sequence, query, now_s)
        self.replicas[view.group].received[trial.entry] = self._sequence

        def first_token() -> None:
            router.record_first_token(view, expected_s, self.clock.now_s - now_s)
            if ask.asked_s >= self._warm_s:
                took_us = int((self.clock.now_s - ask.asked_s) * 1e6)
                self.score.first_token_us.record_value(max(took_us, 1))

        def ended(well: bool) -> None:
            if well:
                router.record_answer(view.group, name)
                self._answered(trial)
            else:
                router.record_failure(view.group, name, True, self.clock.now_s)
                self._failed(trial, Outcome.UNKNOWN, Reason.TARGET_FAILED)

        def refused(reason: Reason) -> None:
            router.record_failure(view.group, name, False, self.clock.now_s)
            self._failed(trial, Outcome.NOT_RUN, reason)

        self.replicas[view.group].submit(Job(ask, first_token, ended, refused))

    def _answered(self, trial: Trial) -> None:
        ask = trial.ask
        self.limits[trial.entry].release(ask.organisation, 1)
        if ask.asked_s >= self._warm_s and self.clock.now_s <= ask.deadline_s:
            self.score.in_time += 1
            self.score.small_in_time += ask.organisation == f"org{ORGANISATIONS - 1}"

    def _failed(self, trial: Trial, outcome: Outcome, reason: Reason) -> None:
        budget = self.limits[trial.entry].retry_budget(trial.ask.organisation)
        action = next_action(outcome, reason, trial.ask.repeatable, False)
        if action is Action.RETRY and self.clock.now_s < trial.ask.deadline_s and budget.spend():
            self._attempt(trial)
        else:
            self._given_up(trial, reason)

    def _given_up(self, trial: Trial, reason: Reason) -> None:
        self.limits[trial.entry].release(trial.ask.organisation, 1)
        if trial.ask.asked_s >= self._warm_s:
            reasons = self.score.reasons
            reasons[reason.value] = reasons.get(reason.value, 0) + 1


__all__ = ["PolicyRun", "Score"]
