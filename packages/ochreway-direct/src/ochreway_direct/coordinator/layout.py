# SPDX-License-Identifier: Apache-2.0
"""How many groups of each model every fabric domain should have."""

from collections import Counter
from collections.abc import Mapping, Sequence
from itertools import combinations

from ochreway_core.ids import DomainId
from ochreway_direct.configuration import EngineSpec, ModelSpec
from ochreway_direct.coordinator.arrangement import arrange
from ochreway_direct.coordinator.placement import Placement, Slot, totals_of
from ochreway_direct.coordinator.room import Room
from ochreway_direct.coordinator.shares import work_shares
from ochreway_direct.coordinator.tuning import CoordinatorTuning
from ochreway_direct.coordinator.worth import gain
from ochreway_direct.ids import ModelName

ROUNDS_AT_MOST = 4
"""How often groups are spread anew and engines that this leaves over are used."""


def plan(
    spec: EngineSpec,
    scenarios: Sequence[Mapping[ModelName, float]],
    rooms: Mapping[DomainId, Room],
    standing: Mapping[Slot, int],
    down: float,
    tuning: CoordinatorTuning,
    least_gain: float | None = None,
) -> Counter[Slot]:
    """Return the number of groups for each place.

    Groups are added as long as all of them find room, the one that adds most for each engine
    first. Before any work was measured (``least_gain`` is 0) each model has a group where one fits,
    however small its share of the work, and further groups of a model count for nothing beyond the
    same share of the engines, so that engines left over go to the model with the smallest groups.
    On three domains of 37 engines, with groups of 16 and 4 and half of the work each, that is 3 and
    15 groups in place of 5 and 7. No domain then has more than half of a model's groups, rounded
    up, where as many groups can be placed otherwise.

    Args:
        spec: the models and their sizes.
        scenarios: the work that may be offered for each model, in groups kept busy; what a group
            adds is its mean over them.
        rooms: the usable engines of each domain, by the models whose groups they can join.
        standing: the groups there are, which are preferred to new ones.
        down: the share of the time for which one engine's loss takes its group down.
        tuning: the weights.
        least_gain: what a group has to add for each of its engines, if not what the weights say.
    """
    least = tuning.least_gain if least_gain is None else least_gain
    layout = _Layout(spec, scenarios, rooms, standing, down, tuning, least)
    layout.fill()
    if not least:
        layout.give_each_a_group()
        layout.spread()
    return layout.placement.placed


class _Layout:
    """Hold the groups that were planned so far, and what one more is worth."""

    def __init__(
        self,
        spec: EngineSpec,
        scenarios: Sequence[Mapping[ModelName, float]],
        rooms: Mapping[DomainId, Room],
        standing: Mapping[Slot, int],
        down: float,
        tuning: CoordinatorTuning,
        least: float,
    ) -> None:
        self.placement = Placement(rooms, standing)
        self._spec = spec
        self._scenarios = scenarios
        self._rooms = rooms
        self._standing = standing
        self._down = down
        self._tuning = tuning
        self._least = least
        self._stand = totals_of(standing)
        self._totals: Counter[ModelName] = Counter()
        self._shares = work_shares(spec)
        self._engines = sum(room.total for room in rooms.values())

    def fill(self) -> None:
        """Add groups while one more is worth its engines and finds room."""
        # What finds no room for one more group finds none once there are more of others.
        possible = list(self._spec.models)
        while possible:
            model = max(possible, key=self._preference)
            if self._value(model) < self._least:
                break
            if not self._add(model):
                possible.remove(model)

    def give_each_a_group(self) -> None:
        """Plan anew round one group of each model, where more models have one then.

        A model without a group refuses all of its callers; one that has many can spare a few.
        """
        served = sum(self._totals[model.name] > 0 for model in self._spec.models)
        if served == len(self._spec.models):
            return
        first: Counter[ModelName] = Counter()
        found: Counter[Slot] = Counter()
        for model in sorted(self._spec.models, key=self._added, reverse=True):
            arranged = self._arranged_with(first, model)
            if arranged is not None:
                first[model.name] = 1
                found = arranged
        if len(first) > served:
            self._begin_with(found)
            self.fill()

    def spread(self) -> None:
        """Move new groups of which one domain has more than half, and use what that leaves over."""
        for _ in range(ROUNDS_AT_MOST):
            arranged = self._evener()
            if arranged is None:
                return
            self._begin_with(arranged)
            self.fill()

    # What a group is worth.

    def _value(self, model: ModelSpec) -> float:
        if not self._least and self._beyond_share(model):
            return 0.0
        added = self._added(model)
        stands = self._totals[model.name] < self._stand[model.name]
        return added * (self._tuning.keep_bonus if stands else 1.0)

    def _added(self, model: ModelSpec) -> float:
        """Return what one more group adds for each of its engines, on average."""
        groups = self._totals[model.name]
        added = sum(
            gain(self._spec, model, needs[model.name], groups, self._down)
            for needs in self._scenarios
        )
        return added / (len(self._scenarios) * model.size)

    def _beyond_share(self, model: ModelSpec) -> bool:
        engines = (self._totals[model.name] + 1) * model.size
        return engines > self._shares[model.name] * self._engines

    def _preference(self, model: ModelSpec) -> tuple[float, int]:
        """Prefer what adds most; where nothing adds anything, groups that take fewest engines.

        If the expected work turns out to be wrong, many small groups can serve more requests with
        the spare engines than a few large ones.
        """
        return max(self._value(model), self._tuning.least_gain), -model.size

    # Where groups go.

    def _add(self, model: ModelSpec) -> bool:
        """Place one more group; return whether it found room.

        Where it finds none beside the others, all are placed anew, larger ones first.
        """
        if not self.placement.add(model):
            anew = self._anew_with(model)
            if anew is None:
                return False
            self.placement = anew
        self._totals[model.name] += 1
        return True

    def _anew_with(self, model: ModelSpec) -> Placement | None:
        anew = Placement(self._rooms, self._standing)
        for each in sorted(self._spec.models, key=lambda each: -each.size):
            for _ in range(self._totals[each.name] + (each is model)):
                if not anew.add(each):
                    return None
        return anew

    def _begin_with(self, placed: Mapping[Slot, int]) -> None:
        self.placement = Placement(self._rooms, self._standing, self._spec.models, placed)
        self._totals = totals_of(placed)

    def _arranged_with(
        self, first: Mapping[ModelName, int], model: ModelSpec
    ) -> Counter[Slot] | None:
        """Return places for one group of each of some models and a further one, if there are any.

        Groups that stand keep their place where the others find one beside them.
        """
        wanted = {**first, model.name: 1}
        standing = sorted(slot for slot, n in self._standing.items() if n and slot.model in wanted)
        kept = {slot: 1 for slot in {each.model: each for each in standing}.values()}
        at_most = dict.fromkeys((each.name for each in self._spec.models), 1)
        models, rooms = self._spec.models, self._rooms
        found = arrange(models, wanted, rooms, kept, at_most)
        return arrange(models, wanted, rooms, {}, at_most) if found is None else found

    def _evener(self) -> Counter[Slot] | None:
        """Return places for as many groups, such that fewer models have over half in a domain."""
        placed = self.placement.placed
        over = _over_half(placed)
        if not over:
            return None
        kept = {slot: min(n, placed[slot]) for slot, n in self._standing.items()}
        for number in range(len(over)):
            for left_over in combinations(sorted(over), number):
                at_most = {
                    name: total if name in left_over else _half(total)
                    for name, total in self._totals.items()
                }
                models = [model for model in self._spec.models if model.name in at_most]
                found = arrange(models, self._totals, self._rooms, kept, at_most)
                if found is not None:
                    return found
        return None


def _over_half(placed: Mapping[Slot, int]) -> set[ModelName]:
    """Return the models of which a domain has more than half of the groups."""
    totals = totals_of(placed)
    return {slot.model for slot, number in placed.items() if number > _half(totals[slot.model])}


def _half(groups: int) -> int:
    return (groups + 1) // 2


__all__ = ["plan"]
