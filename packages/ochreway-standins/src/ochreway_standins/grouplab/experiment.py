# SPDX-License-Identifier: Apache-2.0
"""Description of a simulated day: engines, models, requests and failures."""

from dataclasses import dataclass, replace

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.ids import ModelName

INSTANT_LOAD_S = 0.05
"""Duration of a load that costs nothing: one simulation step."""


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Number of engines, and the speed of one engine."""

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
    """Rate of weight loads, which is ``early_speed`` times higher before the first request."""

    per_s: float
    at_once: int
    early_speed: float


@dataclass(frozen=True, slots=True)
class ModelFigures:
    """Group size and pace of a model, and its share of the work in the configuration."""

    name: str
    size: int
    pace: float
    load_s: float
    warm_s: float
    configured_share: float


@dataclass(frozen=True, slots=True)
class RequestFigures:
    """Arrival rate, length and worth of one kind of request."""

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
    """Sinusoidal variation of the load around its mean."""

    swing: float
    period_s: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Period in which the arrival rate of one kind of request is multiplied by ``factor``.

    It begins up to ``spread_s`` after ``at_s``, at a different time on each day.
    """

    request: str
    at_s: float
    for_s: float
    factor: float
    spread_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Losses:
    """Schedule of lost and added engines; an interval or duration of 0 disables the event."""

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
    """Description of one day; ``pattern`` describes its load in words."""

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
        """Return the same day with weight loads that take almost no time.

        The worth that is lost on this day is due to lost engines and moved callers; any further
        loss on the original day is the cost of loading weights. This is not a strict bound,
        because the coordinator's decision rules are the same on both days.
        """
        models = tuple(
            replace(m, load_s=INSTANT_LOAD_S, warm_s=INSTANT_LOAD_S) for m in self.models
        )
        loads = replace(self.loads, per_s=self.loads.per_s * 100, at_once=self.loads.at_once * 100)
        return replace(self, models=models, loads=loads)

    def spec(self) -> EngineSpec:
        """Return the engine specification that a coordinator reads from its configuration."""
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
