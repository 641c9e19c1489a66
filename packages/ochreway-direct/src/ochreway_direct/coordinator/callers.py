# SPDX-License-Identifier: Apache-2.0
"""Models that have callers, by measured work."""

from ochreway_direct.configuration import EngineSpec
from ochreway_direct.coordinator.demand import MIN_DEMAND, Demand
from ochreway_direct.ids import ModelName


def models_with_callers(spec: EngineSpec, demand: Demand) -> frozenset[ModelName]:
    """Return the models whose measured work is above the least that a plan assumes."""
    if not demand.measured:
        return frozenset()
    return frozenset(
        model.name for model in spec.models if demand.offered.get(model.name, 0.0) > MIN_DEMAND
    )


__all__ = ["models_with_callers"]
