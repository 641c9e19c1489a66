# SPDX-License-Identifier: Apache-2.0
"""Number of groups of each model that every fabric domain should have."""

from collections import Counter
from collections.abc import Mapping, Sequence
from itertools import combinations

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.arrangement import arrange
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.coordinator.groupplan import GroupPlan
from ochreway_direct.coordinator.placement import GroupSlot, Placement, groups_per_model
from ochreway_direct.coordinator.shares import work_shares
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.coordinator.worth import marginal_utility
from ochreway_direct.ids import ModelName

MAX_BALANCING_ROUNDS = 4
"""Bounds how often groups are redistributed and the engines left over are used."""


def plan(
    spec: EngineSpec,
    scenarios: Sequence[Mapping[ModelName, float]],
    capacities: Mapping[DomainId, Capacity],
    current: Mapping[GroupSlot, int],
    downtime_share: float,
    tuning: CoordinatorTuning,
    min_utility: float | None = None,
) -> Counter[GroupSlot]:
    """Return the number of groups for each group slot, by utility alone."""
    return make_plan(
        spec, scenarios, capacities, current, downtime_share, tuning, min_utility
    ).groups


def make_plan(
    spec: EngineSpec,
    scenarios: Sequence[Mapping[ModelName, float]],
    capacities: Mapping[DomainId, Capacity],
    current: Mapping[GroupSlot, int],
    downtime_share: float,
    tuning: CoordinatorTuning,
    min_utility: float | None = None,
    with_callers: frozenset[ModelName] = frozenset(),
) -> GroupPlan:
    """Return the number of groups for each group slot.

    Groups are added while all of them fit, the one with the highest utility per engine first.
    Before any work was measured (``min_utility`` is 0) each model gets a group where one fits,
    however small its share of the work, and further groups of a model have no utility beyond the
    same share of the engines, so that engines left over go to the model with the smallest groups.
    On three domains of 37 engines, with groups of 16 and 4 and half of the work each, that gives 3
    and 15 groups instead of 5 and 7. No domain then has more than half of a model's groups, rounded
    up, if as many groups can be placed that way.

    A model in ``with_callers`` has fewer than ``tuning.min_groups`` groups only if one more does
    not fit beside the groups of each other such model, of which at most as many count. Each has a
    group if one of each fits. Utility decides which model gets a group first within that number.

    Args:
        spec: the models and their sizes.
        scenarios: the work that may be offered for each model, in groups kept busy; the utility of
            a group is its mean over them.
        capacities: the usable engines of each domain, by the models whose groups they can join.
        current: the current groups, which are preferred to new ones.
        downtime_share: the share of time for which the loss of one engine stops its group.
        tuning: the weights.
        min_utility: the utility per engine that a group needs, if not that of ``tuning``.
        with_callers: the models that have callers.
    """
    threshold = tuning.least_gain if min_utility is None else min_utility
    layout = _Layout(spec, scenarios, capacities, current, downtime_share, tuning, threshold)
    layout.fill()
    if not threshold:
        layout.cover_every_model()
        layout.balance()
    covered = layout.keep_min_groups(with_callers, tuning.min_groups)
    return GroupPlan(layout.placement.placed, covered)


class _Layout:
    """Groups planned so far, and the utility of one more."""

    def __init__(
        self,
        spec: EngineSpec,
        scenarios: Sequence[Mapping[ModelName, float]],
        capacities: Mapping[DomainId, Capacity],
        current: Mapping[GroupSlot, int],
        downtime_share: float,
        tuning: CoordinatorTuning,
        threshold: float,
    ) -> None:
        self.placement = Placement(capacities, current)
        self._spec = spec
        self._scenarios = scenarios
        self._capacities = capacities
        self._current = current
        self._downtime_share = downtime_share
        self._tuning = tuning
        self._threshold = threshold
        self._current_totals = groups_per_model(current)
        self._totals: Counter[ModelName] = Counter()
        self._shares = work_shares(spec)
        self._engines = sum(capacity.total for capacity in capacities.values())

    def fill(self) -> None:
        """Add groups while one more has enough utility and fits."""
        # A model without capacity for one more group has none after groups of others are added.
        possible = list(self._spec.models)
        while possible:
            model = max(possible, key=self._preference)
            if self._value(model) < self._threshold:
                break
            if not self._add(model):
                possible.remove(model)

    def cover_every_model(self) -> None:
        """Plan again from one group of each model, if more models get a group that way.

        A model without a group refuses all of its callers; one that has many can spare a few.
        """
        served = sum(self._totals[model.name] > 0 for model in self._spec.models)
        if served == len(self._spec.models):
            return
        single, arrangement = self._single_groups(self._spec.models)
        if len(single) > served:
            self._restart_with(arrangement)
            self.fill()

    def keep_min_groups(
        self, with_callers: frozenset[ModelName], number: int
    ) -> tuple[ModelName, ...]:
        """Plan again from up to ``number`` groups of each model with callers; return who gained.

        The plan stays as it is if no such model gets more groups, up to that number.
        """
        models = [model for model in self._spec.models if model.name in with_callers]
        kept = Counter({model.name: min(self._totals[model.name], number) for model in models})
        if all(kept[model.name] >= number for model in models):
            return ()
        planned = self._totals
        arranged = self._arranged_up_to(models, self._starting_groups(models, kept), kept, number)
        if arranged is None:
            self._totals = planned
            return ()
        self._restart_with(arranged)
        self.fill()
        return tuple(name for name in kept if planned[name] < min(self._totals[name], number))

    def _starting_groups(
        self, models: Sequence[ModelSpec], kept: Counter[ModelName]
    ) -> Counter[ModelName]:
        """Return the kept groups, or one group of each model that fits if those are more models.

        The models with the highest utility come first.
        """
        served = sum(kept[model.name] > 0 for model in models)
        if served == len(models):
            return kept
        self._totals = Counter()
        single, _ = self._single_groups(models)
        return single if len(single) > served else kept

    def _single_groups(
        self, models: Sequence[ModelSpec]
    ) -> tuple[Counter[ModelName], Counter[GroupSlot]]:
        """Return one group of each model that fits, by utility, and their group slots."""
        single: Counter[ModelName] = Counter()
        arrangement: Counter[GroupSlot] = Counter()
        for model in sorted(models, key=self._utility_per_engine, reverse=True):
            arranged = self._arranged(single + Counter({model.name: 1}))
            if arranged is not None:
                single[model.name] = 1
                arrangement = arranged
        return single, arrangement

    def _arranged_up_to(
        self,
        models: Sequence[ModelSpec],
        start: Counter[ModelName],
        kept: Counter[ModelName],
        number: int,
    ) -> Counter[GroupSlot] | None:
        """Add groups up to ``number`` for each model; return their slots, or None if unchanged."""
        self._totals = Counter(start)
        arrangement = None if start == kept else self._arranged(start)
        possible = [model for model in models if start[model.name] < number]
        while possible:
            model = max(possible, key=self._preference)
            arranged = self._arranged(self._totals + Counter({model.name: 1}))
            if arranged is not None:
                self._totals[model.name] += 1
                arrangement = arranged
            if arranged is None or self._totals[model.name] >= number:
                possible.remove(model)
        return arrangement

    def balance(self) -> None:
        """Move new groups if one domain has more than half, and use the engines left over."""
        for _ in range(MAX_BALANCING_ROUNDS):
            arranged = self._balanced_arrangement()
            if arranged is None:
                return
            self._restart_with(arranged)
            self.fill()

    # Utility of groups

    def _value(self, model: ModelSpec) -> float:
        if not self._threshold and self._beyond_share(model):
            return 0.0
        utility = self._utility_per_engine(model)
        is_current = self._totals[model.name] < self._current_totals[model.name]
        return utility * (self._tuning.keep_bonus if is_current else 1.0)

    def _utility_per_engine(self, model: ModelSpec) -> float:
        """Return the mean utility of one more group, per engine."""
        groups = self._totals[model.name]
        utility = sum(
            marginal_utility(
                self._spec, model, model_demand[model.name], groups, self._downtime_share
            )
            for model_demand in self._scenarios
        )
        return utility / (len(self._scenarios) * model.size)

    def _beyond_share(self, model: ModelSpec) -> bool:
        engines = (self._totals[model.name] + 1) * model.size
        return engines > self._shares[model.name] * self._engines

    def _preference(self, model: ModelSpec) -> tuple[float, int]:
        """Return the sort key of a model: the utility, then the smaller group size.

        If the expected demand turns out to be wrong, many small groups can serve more requests with
        the spare engines than a few large ones.
        """
        return max(self._value(model), self._tuning.least_gain), -model.size

    # Placement of groups

    def _add(self, model: ModelSpec) -> bool:
        """Place one more group; return whether it fits.

        If it does not fit beside the others, all groups are placed again, larger ones first.
        """
        if not self.placement.add(model):
            rebuilt = self._rebuilt_with(model)
            if rebuilt is None:
                return False
            self.placement = rebuilt
        self._totals[model.name] += 1
        return True

    def _rebuilt_with(self, model: ModelSpec) -> Placement | None:
        rebuilt = Placement(self._capacities, self._current)
        for each in sorted(self._spec.models, key=lambda each: -each.size):
            for _ in range(self._totals[each.name] + (each is model)):
                if not rebuilt.add(each):
                    return None
        return rebuilt

    def _restart_with(self, placed: Mapping[GroupSlot, int]) -> None:
        self.placement = Placement(self._capacities, self._current, self._spec.models, placed)
        self._totals = groups_per_model(placed)

    def _arranged(self, wanted: Mapping[ModelName, int]) -> Counter[GroupSlot] | None:
        """Return group slots for the given numbers of groups, if they all fit.

        Current groups keep their domain if the others fit beside them.
        """
        kept: dict[GroupSlot, int] = {}
        left = Counter(wanted)
        for slot in sorted(self._current, reverse=True):
            if number := min(self._current[slot], left[slot.model]):
                kept[slot] = number
                left[slot.model] -= number
        max_groups = {each.name: wanted.get(each.name, 0) for each in self._spec.models}
        models, domain_capacities = self._spec.models, self._capacities
        arrangement = arrange(models, wanted, domain_capacities, kept, max_groups)
        return (
            arrange(models, wanted, domain_capacities, {}, max_groups)
            if arrangement is None
            else arrangement
        )

    def _balanced_arrangement(self) -> Counter[GroupSlot] | None:
        """Return slots for the same groups so that fewer models have over half in one domain."""
        placed = self.placement.placed
        over = _over_half(placed)
        if not over:
            return None
        kept = {slot: min(n, placed[slot]) for slot, n in self._current.items()}
        for number in range(len(over)):
            for exempted in combinations(sorted(over), number):
                max_groups = {
                    name: total if name in exempted else _half(total)
                    for name, total in self._totals.items()
                }
                models = [model for model in self._spec.models if model.name in max_groups]
                arrangement = arrange(models, self._totals, self._capacities, kept, max_groups)
                if arrangement is not None:
                    return arrangement
        return None


def _over_half(placed: Mapping[GroupSlot, int]) -> set[ModelName]:
    """Return the models that have more than half of their groups in one domain."""
    totals = groups_per_model(placed)
    return {slot.model for slot, number in placed.items() if number > _half(totals[slot.model])}


def _half(groups: int) -> int:
    return (groups + 1) // 2


__all__ = ["make_plan", "plan"]
