# SPDX-License-Identifier: Apache-2.0
"""What part of the work each model is taken to have until it was measured."""

import math
from collections.abc import Mapping

from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.ids import ModelName


def work_shares(spec: EngineSpec) -> Mapping[ModelName, float]:
    """Return the part of the groups kept busy that are each model's; the parts add up to 1.

    Configured shares count in proportion to each other. One that is missing, 0 or below, or no
    number says that the model is rarely asked for; where all are, nothing is known of any model,
    and each has an equal part.
    """
    weights = {model.name: _weight(model) for model in spec.models}
    total = sum(weights.values())
    if total <= 0:
        return {name: 1.0 / len(weights) for name in weights}
    return {name: weight / total for name, weight in weights.items()}


def _weight(model: ModelSpec) -> float:
    return max(0.0, model.share) if math.isfinite(model.share) else 0.0


__all__ = ["work_shares"]
