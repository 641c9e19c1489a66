# SPDX-License-Identifier: Apache-2.0
"""The description of a day: engines, models, requests and what goes wrong."""

from dataclasses import dataclass, replace

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.ids import ModelName

INSTANT_LOAD_S = 0.05
"""How long a load takes that is to cost nothing: a step of the laboratory."""


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Hold how many engines there are, and how fast one of them works."""

    domains: int
    engines_per_domain: int
    slots: int
    step_ms: float
    per_sequence_ms: float
    read_tokens_per_ms: float
    form_ms: float
    far_factor: float
    listed_within_s: float


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """Hold how fast weights are read; before the first request they are ``early_speed`` faster."""

    per_s: float
    at_once: int
    early_speed: float


@dataclass(frozen=True, slots=True)
class ModelFigures:
    """Hold a model's group size and pace, and the share of work that the configuration gives it."""

    name: str
    size: int
    pace: float
    load_s: float
    warm_s: float
    configured_share: float


@dataclass(frozen=True, slots=True)
class RequestFigures:
    """Hold one kind of request: how often it comes, how long it is, what it is worth."""

    name: str
    model: str
    per_s: float
    prompt_tokens: float
    answer_tokens: float
    spread: float
    objective_ms: float
    worth: float
    late_worth: float


@dataclass(frozen=True, slots=True)
class Wave:
    """Hold how the load rises and falls around its mean."""

    swing: float
    period_s: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Hold a time in which one kind of request comes more or less often.

    It begins up to ``spread_s`` after ``at_s``, on each day at another moment.
    """

    request: str
    at_s: float
    for_s: float
    factor: float
    spread_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Losses:
    """Hold what is lost and added; a period of 0 means never."""

    engine_every_s: float
    added_every_s: float
    added_from_s: float
    domain_at_s: float
    domain_for_s: float
    holder_at_s: float
    holder_for_s: float
    leaving_at_s: float
    leaving_share: float


@dataclass(frozen=True, slots=True)
class Experiment:
    """Hold a whole day; ``pattern`` says in words what is peculiar to it."""

    name: str
    pattern: str
    lead_s: float
    day_s: float
    fleet: FleetFigures
    loads: LoadFigures
    models: tuple[ModelFigures, ...]
    requests: tuple[RequestFigures, ...]
    wave: Wave
    losses: Losses
    bursts: tuple[Burst, ...] = ()

    def with_instant_weights(self) -> "Experiment":
        """Return the same day as if every engine had all weights at once.

        What is lost then is lost by engines that are gone and callers that are moved; what is lost
        beside it is the price of weights that have to be read. It is no strict bound, as the same
        decisions are taken.
        """
        models = tuple(
            replace(m, load_s=INSTANT_LOAD_S, warm_s=INSTANT_LOAD_S) for m in self.models
        )
        loads = replace(self.loads, per_s=self.loads.per_s * 100, at_once=self.loads.at_once * 100)
        return replace(self, models=models, loads=loads)

    def spec(self) -> EngineSpec:
        """Return the figures as a configuration gives them to a coordinator."""
        fleet = self.fleet
        mean_prompt = sum(r.prompt_tokens for r in self.requests) / len(self.requests)
        mean_answer = sum(r.answer_tokens for r in self.requests) / len(self.requests)
        return EngineSpec(
            slots=fleet.slots,
            models=tuple(
                ModelSpec(ModelName(m.name), m.size, m.configured_share, m.pace, m.load_s, m.warm_s)
                for m in self.models
            ),
            step_s=fleet.step_ms / 1000,
            per_sequence_s=fleet.per_sequence_ms / 1000,
            context_s_per_1k_tokens=0.0,
            read_tokens_per_s=fleet.read_tokens_per_ms * 1000,
            usual_prompt_tokens=int(mean_prompt),
            usual_answer_tokens=int(mean_answer),
            staged_at_most=1,
            loads_per_s=self.loads.per_s,
            loads_at_once=self.loads.at_once,
            form_s=fleet.form_ms / 1000,
            far_factor=fleet.far_factor,
        )


__all__ = [
    "Burst",
    "Experiment",
    "FleetFigures",
    "LoadFigures",
    "Losses",
    "ModelFigures",
    "RequestFigures",
    "Wave",
]
