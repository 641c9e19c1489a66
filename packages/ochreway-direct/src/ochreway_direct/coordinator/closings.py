# SPDX-License-Identifier: Apache-2.0
"""Bound on the groups of a model that are closed although they have not failed."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from ochreway_core.ids import GroupId
from ochreway_direct.coordinator.callers import models_with_callers
from ochreway_direct.coordinator.grouprecord import SPANNING, GroupPhase, GroupRecord
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.worth import groups_needed
from ochreway_direct.ids import ModelName, ServiceName


class Closings:
    """Decide how many serving groups may be closed for better ones.

    A closed group's requests take seconds to end, and its replacement takes about a second to form.
    The last serving group of a model with callers is therefore not closed while it carries their
    requests at its pace. Groups that span domains or have slow members may not, not even together:
    most of their callers are refused or late until they are replaced, and a better group may need
    engines of several of them, so that they are closed together. Otherwise, where
    fewer would serve than are planned, one is closed at a time, and the next once a replacement
    serves.
    """

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state
        self.kept: set[GroupId] = set()

    def reset_kept(self) -> None:
        """Discard the groups that were kept in the last tick."""
        self.kept.clear()

    def record_kept(self, groups: Iterable[GroupRecord]) -> None:
        """Record groups that only this bound keeps from being closed, for the log."""
        self.kept.update(group.group for group in groups)

    def is_needed(self, group: GroupRecord) -> bool:
        """Return whether a group is the last serving one of a model and carries its requests."""
        if group.model not in self._models_with_callers(group.service):
            return False
        if self._count(group.service, GroupPhase.SERVING)[group.model] > 1:
            return False
        return group.model in self._carried_models(group.service)

    def _carried_models(self, service: ServiceName) -> frozenset[ModelName]:
        """Return the models whose serving groups together serve the work that is offered."""
        spec, offered = self._state.specs[service], self._state.demand.offered
        capacity: dict[ModelName, float] = defaultdict(float)
        for group in self._state.groups_of(service):
            if group.phase is GroupPhase.SERVING:
                capacity[group.model] += 1.0 / self._state.pace_of(group)
        return frozenset(
            model
            for model, groups in capacity.items()
            if groups_needed(spec, offered.get(model, 0.0)) <= groups
        )

    def keep_spanning(self, service: ServiceName) -> frozenset[GroupId]:
        """Record the serving groups across domains that are not to be closed, and return them.

        Their engines are no capacity inside domains before another group serves, as a plan that
        counts on them would wait for a group that is not closed.
        """
        fixed = [
            group
            for group in self._state.groups_of(service)
            if group.domain == SPANNING
            and group.phase is GroupPhase.SERVING
            and self.is_needed(group)
        ]
        self.record_kept(fixed)
        return frozenset(group.group for group in fixed)

    def allowance(
        self, service: ServiceName, planned: Mapping[ModelName, int]
    ) -> Counter[ModelName]:
        """Return how many groups of each model may be closed now.

        Args:
            service: the service of the groups.
            planned: the number of planned groups of each model.
        """
        serving = self._count(service, GroupPhase.SERVING)
        changing = self._count(
            service, GroupPhase.FORMING, GroupPhase.CLOSING, GroupPhase.DISSOLVING
        )
        called, carried = self._models_with_callers(service), self._carried_models(service)
        allowed: Counter[ModelName] = Counter()
        for model, number in serving.items():
            beyond_plan = number - planned.get(model, 0)
            at_once = max(beyond_plan, 0 if changing[model] else 1)
            if model in called and model in carried:
                allowed[model] = min(number - 1, at_once)
            else:
                allowed[model] = 0 if model in called and changing[model] else number
        return allowed

    def _models_with_callers(self, service: ServiceName) -> frozenset[ModelName]:
        return models_with_callers(self._state.specs[service], self._state.demand)

    def _count(self, service: ServiceName, *phases: GroupPhase) -> Counter[ModelName]:
        groups = self._state.groups_of(service)
        return Counter(group.model for group in groups if group.phase in phases)


__all__ = ["Closings"]
