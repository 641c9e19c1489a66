# SPDX-License-Identifier: Apache-2.0
"""Log event with the plan of the lease holder."""

from dataclasses import replace

import testtools

from ochreway_core.ids import DomainId, GroupId
from ochreway_direct.coordinator.formation import PlanSummary
from ochreway_direct.coordinator.placement import GroupSlot
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.plans.planlog import MIN_LOG_GAP_S, PlanLog
from ochreway_runtime.logs import EventLog

SERVICE = ServiceName("models")
LARGE, SMALL = ModelName("large"), ModelName("small")
WANTED = {GroupSlot(DomainId("d0"), LARGE): 1, GroupSlot(DomainId("d1"), SMALL): 2}


class RecordingLog(EventLog):
    """Record the fields of each event."""

    def __init__(self) -> None:
        super().__init__("entry", "e", "error")
        self.events: list[dict[str, object]] = []

    def event(self, name: str, **fields: object) -> None:
        """Record an event."""
        self.events.append({"name": name, **fields})


def plan(large: float, small: float, standing: dict[GroupSlot, int] | None = None) -> PlanSummary:
    """Return a plan for the given demand."""
    return PlanSummary(True, {LARGE: large, SMALL: small}, WANTED, standing or {})


class PlanLogTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.recorder = RecordingLog()
        self.log = PlanLog(self.recorder)

    def test_an_event_has_demand_groups_and_loads(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.25, {GroupSlot(DomainId("d1"), SMALL): 1}), 3, 0.0)
        (line,) = self.recorder.events
        self.assertEqual("plan", line["name"])
        self.assertEqual("large:1.00,small:7.25", line["needs"])
        self.assertEqual("large@d0:1,small@d1:2", line["wanted"])
        self.assertEqual("small@d1:1", line["standing"])
        self.assertEqual(3, line["loading"])

    def test_groups_that_are_kept_and_models_that_are_covered_are_logged(self) -> None:
        """Guards against plans that an operator cannot explain from needs and engines."""
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        kept = replace(plan(1.0, 7.0), kept=(GroupId("large-4"), GroupId("large-5")))
        self.log.log_plan(SERVICE, kept, 0, 1.0)
        self.log.log_plan(SERVICE, replace(kept, covered=(LARGE,)), 0, 2.0)
        fields = [(line["kept"], line["covered"]) for line in self.recorder.events]
        kept_names = "large-4,large-5"
        self.assertEqual([("", ""), (kept_names, ""), (kept_names, "large")], fields)

    def test_an_unchanged_plan_is_not_logged_again(self) -> None:
        for n in range(100):
            self.log.log_plan(SERVICE, plan(1.0, 7.0 + 0.01 * (n % 2)), 3 + n % 2, float(n))
        self.assertEqual(1, len(self.recorder.events))

    def test_a_change_of_demand_is_logged(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.log_plan(SERVICE, plan(4.0, 7.0), 0, 1.0)
        self.assertEqual("large:4.00,small:7.00", self.recorder.events[-1]["needs"])

    def test_a_further_group_and_the_first_load_are_logged(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.log_plan(SERVICE, plan(1.0, 7.0, {GroupSlot(DomainId("d1"), SMALL): 1}), 0, 1.0)
        self.log.log_plan(SERVICE, plan(1.0, 7.0, {GroupSlot(DomainId("d1"), SMALL): 1}), 1, 2.0)
        self.assertEqual(3, len(self.recorder.events))

    def test_events_are_rate_limited(self) -> None:
        for n in range(200):
            self.log.log_plan(SERVICE, plan(float(n), 1.0), 0, n * 0.02)
        self.assertLessEqual(len(self.recorder.events), 4.0 / MIN_LOG_GAP_S + 1)

    def test_a_new_holder_logs_its_first_plan(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.reset()
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.1)
        self.assertEqual(2, len(self.recorder.events))

    def test_a_change_within_the_minimum_interval_is_logged_after_it(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.log_plan(SERVICE, plan(4.0, 7.0), 0, 0.1)
        self.assertEqual(1, len(self.recorder.events))
        self.log.log_plan(SERVICE, plan(4.0, 7.0), 0, MIN_LOG_GAP_S)
        self.assertEqual(2, len(self.recorder.events))
