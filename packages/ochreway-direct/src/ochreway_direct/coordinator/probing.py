# SPDX-License-Identifier: Apache-2.0
"""Scheduling of engine probes, by what is known of the engines from other sources."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import GroupId, InstanceId
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.tuning import CoordinatorTuning


class ProbeCause(Enum):
    """Reason for probing an engine."""

    DEAD = "dead"
    SUSPECTED = "suspected"
    """Its group stopped answering requests."""
    UNSETTLED = "unsettled"
    """It has not answered yet, or missed a probe."""
    NEWS = "news"
    """The list showed a change that no report has shown yet."""
    STAGING = "staging"
    CHANGING = "changing"
    """Its group waits for it to become ready or to leave."""
    HEARD = "heard"
    """Its group serves, and entries would notice silence."""
    IDLE = "idle"
    """Its group serves, and has no requests."""
    FREE = "free"
    DRAINED = "drained"
    """Its hall is drained, so that it gets no orders."""


PROBE_BURST_S = 0.5
"""Time over which unused probes accumulate, as engines are probed in bursts."""


def _intervals_s(tuning: CoordinatorTuning) -> dict[ProbeCause, float]:
    return {
        ProbeCause.DEAD: tuning.dead_probe_s,
        ProbeCause.SUSPECTED: 0.0,
        ProbeCause.UNSETTLED: tuning.probe_changing_s,
        ProbeCause.NEWS: tuning.probe_changing_s,
        ProbeCause.STAGING: tuning.probe_staging_s,
        ProbeCause.CHANGING: tuning.probe_changing_s,
        ProbeCause.HEARD: tuning.probe_heard_s,
        ProbeCause.IDLE: tuning.probe_serving_s,
        ProbeCause.FREE: tuning.probe_free_s,
        ProbeCause.DRAINED: tuning.probe_drained_s,
    }


@dataclass(frozen=True, slots=True)
class Probe:
    """Engine to probe and the reason."""

    record: EngineRecord
    cause: ProbeCause


URGENT_CAUSES = frozenset(
    {ProbeCause.SUSPECTED, ProbeCause.UNSETTLED, ProbeCause.NEWS, ProbeCause.CHANGING}
)
"""Causes that come first while more probes are due than the rate allows."""


class Probing:
    """Probe each engine at the interval of its cause, within a rate limit over all engines."""

    def __init__(self, state: CoordinatorState, is_answering: Callable[[GroupId], bool]) -> None:
        """Start with the shared state; ``is_answering`` returns whether a group answers entries."""
        self._state = state
        self.is_answering = is_answering
        self._probe_intervals_s = _intervals_s(state.tuning)
        self._budget = 0.0
        self._budget_updated_s: float | None = None

    def due(self, now_s: float) -> list[Probe]:
        """Return the engines to probe now, and mark them as probed."""
        causes: dict[InstanceId, ProbeCause] = {}
        for group in self._state.groups.values():
            causes.update(self._member_causes(group, now_s))
        due_now = []
        for record in self._state.engines.values():
            if record.probe_pending:
                continue
            cause = self._own_cause(record, now_s) or causes.get(record.instance, ProbeCause.FREE)
            if now_s - record.probed_s >= self._probe_intervals_s[cause]:
                due_now.append(Probe(record, cause))
        chosen = self._within_rate(due_now, now_s)
        for probe in chosen:
            probe.record.probe_pending = True
            probe.record.probed_s = now_s
        return chosen

    def _within_rate(self, due: list[Probe], now_s: float) -> list[Probe]:
        """Return the probes that the rate allows: urgent ones first, then the longest overdue."""
        rate = self._state.tuning.probes_per_s
        since_s = (
            now_s - self._budget_updated_s if self._budget_updated_s is not None else PROBE_BURST_S
        )
        self._budget = min(rate * PROBE_BURST_S, self._budget + rate * since_s)
        self._budget_updated_s = now_s
        if len(due) > self._budget:
            due.sort(key=lambda probe: (probe.cause not in URGENT_CAUSES, probe.record.probed_s))
            due = due[: int(self._budget)]
        self._budget -= len(due)
        return due

    def _own_cause(self, record: EngineRecord, now_s: float) -> ProbeCause | None:
        """Return the cause of a probe that does not depend on the engine's group, if any."""
        if record.dead:
            return ProbeCause.DRAINED if self._state.is_drained(record) else ProbeCause.DEAD
        if record.suspected:
            return ProbeCause.SUSPECTED
        if record.misses or record.observed_s < 0:
            return ProbeCause.UNSETTLED
        if self._state.is_drained(record):
            return ProbeCause.DRAINED
        if record.has_unreported_change(now_s):
            return ProbeCause.NEWS
        if record.staging and not self._request_seen:
            return ProbeCause.STAGING
        return None

    @property
    def _request_seen(self) -> bool:
        """Return whether any request was seen; before the first one, a loss affects nobody."""
        return self._state.demand.measured_since_s is not None

    def _member_causes(self, group: GroupRecord, now_s: float) -> dict[InstanceId, ProbeCause]:
        if group.phase is GroupPhase.SERVING:
            silence_noticed = self.is_answering(group.group) or not self._request_seen
            return dict.fromkeys(
                group.members, ProbeCause.HEARD if silence_noticed else ProbeCause.IDLE
            )
        settled = group.ready if group.phase is GroupPhase.FORMING else group.released
        return {
            each: ProbeCause.IDLE
            if each in settled or not self._change_due(each, now_s)
            else ProbeCause.CHANGING
            for each in group.members
        }

    def _change_due(self, instance: InstanceId, now_s: float) -> bool:
        record = self._state.engines.get(instance)
        return record is not None and now_s >= record.change_expected_s


__all__ = ["Probe", "ProbeCause", "Probing"]
