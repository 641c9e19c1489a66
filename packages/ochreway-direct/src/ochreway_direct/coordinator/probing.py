# SPDX-License-Identifier: Apache-2.0
"""Which engines to ask for their state, and how often, by what is known of them otherwise."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import GroupId, InstanceId
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.coordinator.tuning import CoordinatorTuning


class ProbeCause(Enum):
    """Say why an engine is asked."""

    DEAD = "dead"
    SUSPECTED = "suspected"
    """Its group fell silent under requests."""
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
    """Its group serves, and nobody is asking anything of it."""
    FREE = "free"
    DRAINED = "drained"
    """Its hall is drained, and nothing may be done there."""


PROBES_SAVED_S = 0.5
"""How much of the rate may be saved up, as engines are asked in bursts."""


def _periods_s(tuning: CoordinatorTuning) -> dict[ProbeCause, float]:
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
    """Pair an engine with the reason for asking it."""

    record: EngineRecord
    cause: ProbeCause


URGENT = frozenset(
    {ProbeCause.SUSPECTED, ProbeCause.UNSETTLED, ProbeCause.NEWS, ProbeCause.CHANGING}
)
"""What comes first while more are due than may be asked."""


class Probing:
    """Ask each engine as often as its cause needs, and all together at a bounded rate."""

    def __init__(self, state: CoordinatorState, heard: Callable[[GroupId], bool]) -> None:
        """Start with the engines and groups; ``heard`` tells whether a group answers entries."""
        self._state = state
        self.heard = heard
        self._periods_s = _periods_s(state.tuning)
        self._allowed = 0.0
        self._allowed_s: float | None = None

    def due(self, now_s: float) -> list[Probe]:
        """Return the engines to ask now, which are then taken to be asked."""
        causes: dict[InstanceId, ProbeCause] = {}
        for group in self._state.groups.values():
            causes.update(self._of_members(group, now_s))
        found = []
        for record in self._state.engines.values():
            if record.probing:
                continue
            cause = self._of(record, now_s) or causes.get(record.instance, ProbeCause.FREE)
            if now_s - record.probed_s >= self._periods_s[cause]:
                found.append(Probe(record, cause))
        chosen = self._within_rate(found, now_s)
        for probe in chosen:
            probe.record.probing = True
            probe.record.probed_s = now_s
        return chosen

    def _within_rate(self, due: list[Probe], now_s: float) -> list[Probe]:
        """Return what may be asked now: the urgent first, then those not asked for longest."""
        rate = self._state.tuning.probes_per_s
        since_s = now_s - self._allowed_s if self._allowed_s is not None else PROBES_SAVED_S
        self._allowed = min(rate * PROBES_SAVED_S, self._allowed + rate * since_s)
        self._allowed_s = now_s
        if len(due) > self._allowed:
            due.sort(key=lambda probe: (probe.cause not in URGENT, probe.record.probed_s))
            due = due[: int(self._allowed)]
        self._allowed -= len(due)
        return due

    def _of(self, record: EngineRecord, now_s: float) -> ProbeCause | None:
        """Return why an engine is asked for its own sake, if it is."""
        if record.dead:
            return ProbeCause.DRAINED if self._state.drains(record) else ProbeCause.DEAD
        if record.suspected:
            return ProbeCause.SUSPECTED
        if record.misses or record.observed_s < 0:
            return ProbeCause.UNSETTLED
        if self._state.drains(record):
            return ProbeCause.DRAINED
        if record.has_news(now_s):
            return ProbeCause.NEWS
        if record.staging and not self._asked:
            return ProbeCause.STAGING
        return None

    @property
    def _asked(self) -> bool:
        """Tell whether any request has come; before, a loss harms nobody."""
        return self._state.demand.measured_since_s is not None

    def _of_members(self, group: GroupRecord, now_s: float) -> dict[InstanceId, ProbeCause]:
        if group.phase is GroupPhase.SERVING:
            heard = self.heard(group.group) or not self._asked
            return dict.fromkeys(group.members, ProbeCause.HEARD if heard else ProbeCause.IDLE)
        settled = group.ready if group.phase is GroupPhase.FORMING else group.released
        return {
            each: ProbeCause.IDLE
            if each in settled or not self._change_due(each, now_s)
            else ProbeCause.CHANGING
            for each in group.members
        }

    def _change_due(self, instance: InstanceId, now_s: float) -> bool:
        record = self._state.engines.get(instance)
        return record is not None and now_s >= record.change_due_s


__all__ = ["Probe", "ProbeCause", "Probing"]
