# SPDX-License-Identifier: Apache-2.0
"""Offered work of each model."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.shares import work_shares
from ochreway_direct.demand.decayingsum import DECAY_S
from ochreway_direct.demand.offeredwork import OfferedWork
from ochreway_direct.ids import ModelName

MIN_DEMAND = 0.05
"""Minimum work, in groups kept busy, for which a configured model is planned."""
TYPICAL_SEQUENCES = 8
CAPACITY_SHARE = 0.7
"""Share of a group's slots that can be busy without requests having to wait."""
MIN_MEASUREMENT_S = 1.0
"""Time for which work is measured before plans use it.

At 90 requests per second, 79 of them for one model, its share is known to within 4 % after one
second, which changes a plan by less than one group.
"""
HEAVY_SHARE = 0.8
"""Share of the work that one model may have in a scenario; on one site it is 0.85."""
ASSUMED_BUSY_SHARE = 0.5
"""Share of all engines that is assumed to be busy before the first request."""


def work_s(
    spec: EngineSpec, model: ModelName | None, prompt_tokens: int, answer_tokens: int
) -> float:
    """Return how long a request occupies a group that runs ``TYPICAL_SEQUENCES`` requests."""
    model_spec = spec.model(model) if model is not None else None
    pace = model_spec.pace if model_spec is not None else 1.0
    step_s = spec.token_s(TYPICAL_SEQUENCES)
    reading_s = prompt_tokens / spec.read_tokens_per_s
    return pace * (reading_s + answer_tokens * step_s / TYPICAL_SEQUENCES)


@dataclass(slots=True)
class Demand:
    """Work offered for each model, in groups kept busy."""

    offered: dict[ModelName, float] = field(default_factory=dict)
    measured_since_s: float | None = None

    def update(self, offered: Mapping[ModelName, float], now_s: float) -> None:
        """Apply the offered work; it is used once it was measured for long enough."""
        if sum(offered.values()) <= 0:
            return
        since_s = self._note_requests(now_s)
        if now_s - since_s >= MIN_MEASUREMENT_S:
            self.offered = dict(offered)

    def follow(self, own: OfferedWork, others: OfferedWork, now_s: float) -> None:
        """Apply the work offered to this entry and to all others, as far as it is settled.

        An entry that has just started goes by what the others report. If none of them has run for
        longer, the former demand stays, which is that of the configured shares after a start.
        """
        total = own.plus(others)
        if total.has_work:
            self._note_requests(now_s)
        if own.measured_s is None or own.measured_s >= DECAY_S:
            self.update(total.rates, now_s)
        elif others.settled:
            self.update(others.rates, now_s)

    def _note_requests(self, now_s: float) -> float:
        """Return since when requests are known; the first ones set it."""
        if self.measured_since_s is None:
            self.measured_since_s = now_s
        return self.measured_since_s

    @property
    def measured(self) -> bool:
        """Return whether enough requests were measured to plan from them."""
        return sum(self.offered.values()) > 0

    def scenarios(self, spec: EngineSpec, engines: int) -> tuple[dict[ModelName, float], ...]:
        """Return the demands to prepare for; before any measurement these are one per model.

        In each of those, most of the busy engines serve a different model. Weights are loaded for
        all scenarios; groups are planned from the configured shares.
        """
        model_demand = self.by_model(spec, engines)
        if self.measured or len(model_demand) < 2:
            return (model_demand,)
        rest = (1.0 - HEAVY_SHARE) / (len(model_demand) - 1)
        return tuple(
            {
                m.name: _full_load(spec, m, engines, HEAVY_SHARE if m is heavy else rest)
                for m in spec.models
            }
            for heavy in spec.models
        )

    def by_model(self, spec: EngineSpec, engines: int) -> dict[ModelName, float]:
        """Return the work of each model, from its configured share until it was measured."""
        measured = {m.name: self.offered.get(m.name, 0.0) for m in spec.models}
        if sum(measured.values()) > 0:
            return {name: max(MIN_DEMAND, work) for name, work in measured.items()}
        shares = work_shares(spec)
        size = sum(shares[m.name] * m.size for m in spec.models)
        busy = ASSUMED_BUSY_SHARE * engines / size
        return {m.name: max(MIN_DEMAND, shares[m.name] * busy) for m in spec.models}


def _full_load(spec: EngineSpec, model: ModelSpec, engines: int, share: float) -> float:
    """Return the work that fills a model's share of the engines up to ``CAPACITY_SHARE``.

    A group counts as busy with ``TYPICAL_SEQUENCES`` requests and has more slots than that.
    """
    groups = ASSUMED_BUSY_SHARE * share * engines / model.size
    return max(MIN_DEMAND, groups * CAPACITY_SHARE * spec.slots / TYPICAL_SEQUENCES)


__all__ = ["CAPACITY_SHARE", "MIN_MEASUREMENT_S", "TYPICAL_SEQUENCES", "Demand", "work_s"]
