# SPDX-License-Identifier: Apache-2.0
"""Assumed share of the work of each model until it was measured."""

import math
from collections.abc import Mapping

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.ids import ModelName


def work_shares(spec: EngineSpec) -> Mapping[ModelName, float]:
    """Return each model's share of the groups kept busy; the shares add up to 1.

    Configured shares count in proportion to each other. A share that is missing, not positive or
    not finite means that the model is rarely requested. If all are, nothing is known of any model,
    and each has an equal share.
    """
    weights = {model.name: _weight(model) for model in spec.models}
    total = sum(weights.values())
    if total <= 0:
        return {name: 1.0 / len(weights) for name in weights}
    return {name: weight / total for name, weight in weights.items()}


def _weight(model: ModelSpec) -> float:
    return max(0.0, model.share) if math.isfinite(model.share) else 0.0


__all__ = ["work_shares"]
