# SPDX-License-Identifier: Apache-2.0
"""Log events for the plan of the lease holder when it changes."""

from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_direct.coordinator.formation import PlanSummary
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.ids import ServiceName
from ochreway_runtime.logs import EventLog

MIN_LOG_GAP_S = 0.5
"""Minimum time between two log lines of a service."""
MIN_DEMAND_CHANGE = 0.5
"""Minimum change of a model's demand that is logged, in groups."""
MIN_DEMAND_CHANGE_SHARE = 0.15
"""Minimum change as a share of the demand, where that is larger."""


@dataclass(frozen=True, slots=True)
class _LoggedPlan:
    plan: PlanSummary
    loading: int
    at_s: float


class PlanLog:
    """Log the plan when demand, wanted or existing groups, or loads under way have changed."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._last_logged: dict[ServiceName, _LoggedPlan] = {}

    def reset(self) -> None:
        """Log the next plan in any case."""
        self._last_logged.clear()

    def due(self, service: ServiceName, now_s: float) -> bool:
        """Return whether a line for a service may be logged again."""
        logged = self._last_logged.get(service)
        return logged is None or now_s - logged.at_s >= MIN_LOG_GAP_S

    def log_plan(self, service: ServiceName, plan: PlanSummary, loading: int, now_s: float) -> None:
        """Log the plan of a service if a line is due and the plan has changed."""
        if not self.due(service, now_s):
            return
        logged = self._last_logged.get(service)
        if logged is not None and not _plan_changed(logged, plan, loading):
            return
        self._last_logged[service] = _LoggedPlan(plan, loading, now_s)
        self._log.event(
            "plan",
            service=service,
            measured=plan.measured,
            needs=",".join(f"{model}:{need:.2f}" for model, need in plan.model_demand.items()),
            wanted=slots_text(plan.wanted),
            standing=slots_text(plan.current),
            loading=loading,
            kept=",".join(plan.kept),
            covered=",".join(plan.covered),
        )


def slots_text(slots: Mapping[GroupSlot, int]) -> str:
    """Return the numbers of groups by model and domain as a single string."""
    return ",".join(
        f"{slot.model}@{slot.domain}:{number}"
        for slot, number in sorted(slots.items(), key=lambda each: (each[0].domain, each[0].model))
        if number
    )


def _plan_changed(logged: _LoggedPlan, plan: PlanSummary, loading: int) -> bool:
    before = logged.plan
    if (before.wanted, before.current) != (plan.wanted, plan.current):
        return True
    if (before.kept, before.covered) != (plan.kept, plan.covered):
        return True
    if before.measured != plan.measured or bool(logged.loading) != bool(loading):
        return True
    return any(
        _demand_changed(before.model_demand.get(model, 0.0), need)
        for model, need in plan.model_demand.items()
    )


def _demand_changed(before: float, demand: float) -> bool:
    return abs(demand - before) > max(
        MIN_DEMAND_CHANGE, MIN_DEMAND_CHANGE_SHARE * max(before, demand)
    )


__all__ = ["MIN_LOG_GAP_S", "PlanLog", "slots_text"]
