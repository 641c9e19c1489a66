# SPDX-License-Identifier: Apache-2.0
"""Telling what the holder of the lease plans, whenever that has changed."""

from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_direct.coordinator.formation import PlanSummary
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.ids import ServiceName
from ochreway_runtime.logs import EventLog

LEAST_GAP_S = 0.5
"""The least time between two lines of a service."""
NEED_CHANGE = 0.5
"""By how many groups' work a need has to change to be told."""
NEED_CHANGE_SHARE = 0.15
"""The same as a share of the need, where that is more."""


@dataclass(frozen=True, slots=True)
class _Told:
    plan: PlanSummary
    loading: int
    at_s: float


class PlanLog:
    """Write a line when needs, groups wanted or standing, or loads under way have changed."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._told: dict[ServiceName, _Told] = {}

    def forget(self) -> None:
        """Have the next plan told whatever was told before."""
        self._told.clear()

    def due(self, service: ServiceName, now_s: float) -> bool:
        """Tell whether a line of a service may be written again."""
        told = self._told.get(service)
        return told is None or now_s - told.at_s >= LEAST_GAP_S

    def step(self, service: ServiceName, plan: PlanSummary, loading: int, now_s: float) -> None:
        """Write the line of a service if it may be written and anything has changed."""
        if not self.due(service, now_s):
            return
        told = self._told.get(service)
        if told is not None and not _differs(told, plan, loading):
            return
        self._told[service] = _Told(plan, loading, now_s)
        self._log.event(
            "plan",
            service=service,
            measured=plan.measured,
            needs=",".join(f"{model}:{need:.2f}" for model, need in plan.model_demand.items()),
            wanted=slots_text(plan.wanted),
            standing=slots_text(plan.current),
            loading=loading,
        )


def slots_text(slots: Mapping[GroupSlot, int]) -> str:
    """Return numbers of groups by place, in one word."""
    return ",".join(
        f"{slot.model}@{slot.domain}:{number}"
        for slot, number in sorted(slots.items(), key=lambda each: (each[0].domain, each[0].model))
        if number
    )


def _differs(told: _Told, plan: PlanSummary, loading: int) -> bool:
    before = told.plan
    if (before.wanted, before.current) != (plan.wanted, plan.current):
        return True
    if before.measured != plan.measured or bool(told.loading) != bool(loading):
        return True
    return any(
        _moved(before.model_demand.get(model, 0.0), need)
        for model, need in plan.model_demand.items()
    )


def _moved(before: float, need: float) -> bool:
    return abs(need - before) > max(NEED_CHANGE, NEED_CHANGE_SHARE * max(before, need))


__all__ = ["LEAST_GAP_S", "PlanLog", "slots_text"]
