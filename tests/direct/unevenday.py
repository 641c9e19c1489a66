# SPDX-License-Identifier: Apache-2.0
"""A day of losses for two models of unlike size, in virtual time and without requests."""

from collections import defaultdict
from dataclasses import dataclass, field, replace

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.demand import work_s
from ochreway_direct.ids import ModelName
from ochreway_standins.engineworld import LARGE, SMALL, SPEC, EngineWorld

LEAD_S = 12.0
DAY_S = 34.0
EARLY_SPEED = 10.0
"""How much faster weights load before the first request."""
MEASURED_EACH_S = 0.5


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request."""

    name: str
    model: ModelSpec
    per_s: float
    prompt_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class Losses:
    """When engines are lost and added, and when a whole domain is dark; 0 means never."""

    engine_every_s: float = 3.0
    added_from_s: float = 12.0
    added_every_s: float = 4.0
    domain_at_s: float = 0.0
    domain_for_s: float = 6.5


@dataclass(slots=True)
class ServedWork:
    """Work of each model that groups had room for, and work that was offered."""

    served: defaultdict[ModelName, float] = field(default_factory=lambda: defaultdict(float))
    offered: defaultdict[ModelName, float] = field(default_factory=lambda: defaultdict(float))

    def share(self, model: ModelSpec) -> float:
        """Return the share of a model's requests that groups had room for."""
        return self.served[model.name] / self.offered[model.name]


def requests_per_s(spec: EngineSpec, kinds: tuple[Kind, ...], model: ModelSpec) -> float:
    """Return the rate at which a group with all slots in use ends requests of a model's mix.

    Prompts are read one after the other, and each step writes one token of every answer.
    """
    mix = [each for each in kinds if each.model is model]
    total = sum(each.per_s for each in mix)
    prompt = sum(each.per_s * each.prompt_tokens for each in mix) / total
    answer = sum(each.per_s * each.answer_tokens for each in mix) / total
    writing_s = answer * spec.token_s(spec.slots) / spec.slots
    return 1.0 / (model.pace * (prompt / spec.read_tokens_per_s + writing_s))


def offered_work(spec: EngineSpec, kinds: tuple[Kind, ...]) -> dict[ModelName, float]:
    """Return the work that entries measure of some kinds of requests."""
    offered: defaultdict[ModelName, float] = defaultdict(float)
    for each in kinds:
        request_s = work_s(spec, each.model.name, each.prompt_tokens, each.answer_tokens)
        offered[each.model.name] += each.per_s * request_s
    return dict(offered)


def play_day(
    seed: int,
    kinds: tuple[Kind, ...],
    spec: EngineSpec = SPEC,
    domains: int = 3,
    engines: int = 8,
    losses: Losses = Losses(),
    tuning: CoordinatorTuning | None = None,
) -> ServedWork:
    """Play a day from a site's first start on; return the work that groups had room for."""
    tuning = replace(tuning or CoordinatorTuning(), first_start=True)
    world = EngineWorld(domains, engines, seed, lag_s=1.0, tuning=tuning, spec=spec)
    world.load_speed = EARLY_SPEED
    world.run(LEAD_S)
    world.load_speed = 1.0
    day = _Day(world, kinds, losses)
    world.run(DAY_S, day.step)
    return day.work


class _Day:
    """Bring about the losses of a day and measure what groups have room for."""

    def __init__(self, world: EngineWorld, kinds: tuple[Kind, ...], losses: Losses) -> None:
        self.work = ServedWork()
        self._world = world
        self._kinds = kinds
        self._losses = losses
        self._began_s = self._last_s = world.now_s
        self._measured_s = -1.0
        self._next_loss_s = world.random.uniform(2.0, 3.5)
        self._next_added_s = losses.added_from_s
        self._dark: list[DomainId] = []
        self._rates = {
            each.model.name: requests_per_s(world.spec, kinds, each.model) for each in kinds
        }

    def step(self) -> None:
        now_s = self._world.now_s
        at_s, elapsed_s = now_s - self._began_s, now_s - self._last_s
        self._last_s = now_s
        if at_s - self._measured_s >= MEASURED_EACH_S:
            self._measured_s = at_s
            self._world.coordinator.demand.update(
                offered_work(self._world.spec, self._kinds), now_s
            )
        self._lose(at_s)
        self._add(at_s)
        self._lose_domain(at_s)
        self._measure(elapsed_s)

    def _lose(self, at_s: float) -> None:
        if not self._losses.engine_every_s or at_s < self._next_loss_s:
            return
        self._next_loss_s += self._losses.engine_every_s * self._world.random.uniform(0.7, 1.3)
        members = [
            each
            for each in self._world.engines.values()
            if each.alive and each.membership is not None
        ]
        if members:
            self._world.crash(self._world.random.choice(members).instance)

    def _add(self, at_s: float) -> None:
        if not self._losses.added_every_s or at_s < self._next_added_s:
            return
        self._next_added_s += self._losses.added_every_s
        domains = sorted({each.domain for each in self._world.engines.values()})
        self._world.add(self._world.random.choice(domains))

    def _lose_domain(self, at_s: float) -> None:
        losses = self._losses
        if not losses.domain_at_s:
            return
        if not self._dark and at_s >= losses.domain_at_s:
            domains = sorted({each.domain for each in self._world.engines.values()})
            self._dark = [self._world.random.choice(domains)]
            for engine in list(self._world.engines.values()):
                if engine.domain == self._dark[0] and engine.alive:
                    self._restart_later(engine.instance, losses.domain_for_s)

    def _restart_later(self, instance: object, after_s: float) -> None:
        engine = self._world.engines[instance]  # type: ignore[index]
        self._world.crash(engine.instance)
        again = self._world.add(engine.domain, engine.staged)
        again.listed_s = self._world.now_s + after_s

    def _measure(self, elapsed_s: float) -> None:
        for model in {each.model.name for each in self._kinds}:
            offered = sum(each.per_s for each in self._kinds if each.model.name == model)
            room = sum(
                self._rates[model] / view.pace
                for view in self._world.coordinator.views()
                if view.model == model and self._world.engines[view.leader].alive
            )
            self.work.offered[model] += offered * elapsed_s
            self.work.served[model] += min(offered, room) * elapsed_s


SITE = replace(SPEC, step_s=0.00607, per_sequence_s=0.000482)
"""Three domains of 8, with groups of 4 and 2, as on a small site."""
KINDS = (
    Kind("draft", LARGE, 10.5, 1460, 93),
    Kind("check", LARGE, 5.5, 2000, 24),
    Kind("note", SMALL, 33.7, 714, 93),
)
"""Kinds of unlike length: the large model's prompts are two to three times as long."""
WIDE_LARGE = replace(LARGE, size=12, share=0.5)
WIDE_SMALL = replace(SMALL, size=6, share=0.5)
WIDE_SITE = replace(SITE, models=(WIDE_LARGE, WIDE_SMALL), loads_per_s=6.8, loads_at_once=10)
"""Groups of 12 and 6, for three domains of 27."""
WIDE_KINDS = (
    Kind("draft", WIDE_LARGE, 10.5, 1460, 93),
    Kind("check", WIDE_LARGE, 5.5, 2000, 24),
    Kind("note", WIDE_SMALL, 55.0, 714, 93),
)
