# SPDX-License-Identifier: Apache-2.0
"""Planned groups, and the models that have some only for the sake of their callers."""

from collections import Counter
from dataclasses import dataclass, field

from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """Hold the number of groups of each group slot.

    ``covered`` are the models that have callers and got groups, up to the minimum, which they
    would not have by utility alone.
    """

    groups: Counter[GroupSlot] = field(default_factory=Counter)
    covered: tuple[ModelName, ...] = ()


__all__ = ["GroupPlan"]
