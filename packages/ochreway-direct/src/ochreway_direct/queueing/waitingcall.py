# SPDX-License-Identifier: Apache-2.0
"""A call as its queue sees it."""

from dataclasses import dataclass

from ochreway_core.ids import Fingerprint, HallId, InstanceId
from ochreway_routing.work import Work


@dataclass(slots=True, eq=False)
class WaitingCall:
    """Hold what decides when a call goes.

    Attributes:
        organisation: whose share it counts for; empty without a key.
        cost_s: work that is counted as service of the organisation, in seconds of a group.
        objective_end_s: when its objective ends.
        latest_s: until when its first part is of use, or until when it waits if it must run.
        patience_s: for how long it waits while no place is known to come.
        resuming: whether its answer has begun.
        must_run: whether it may have run, so that it cannot be refused.
        returned: whether it was refused here, and is back as told.
        late: whether it is expected to miss its objective.
        within: halls that it may be served in, or None for any.
        tried: targets that it is not sent to any more.
        forecast_s: how long it was expected to wait as it came.
    """

    fingerprint: Fingerprint
    organisation: str
    priority: int
    route_priority: int
    cost_s: float
    entered_s: float
    objective_end_s: float
    latest_s: float
    patience_s: float
    first_try: bool = True
    resuming: bool = False
    must_run: bool = False
    returned: bool = False
    late: bool = False
    within: frozenset[HallId] | None = None
    tried: frozenset[InstanceId] = frozenset()
    forecast_s: float | None = None

    def work(self) -> Work["WaitingCall"]:
        """Return the call as work of the fair queue."""
        return Work(
            item=self,
            organisation=self.organisation,
            priority=self.priority,
            cost=self.cost_s,
            prefill_tokens=0.0,
            deadline_s=self.objective_end_s,
            expected_run_s=0.0,
            queued_s=self.entered_s,
            route_priority=self.route_priority,
            must_run=self.must_run,
            returned=self.returned,
            late=self.late,
        )


__all__ = ["WaitingCall"]
