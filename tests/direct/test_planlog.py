# SPDX-License-Identifier: Apache-2.0
"""The line that tells what the holder of the lease plans."""

import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator.formation import PlanSummary
from ochreway_direct.coordinator.placement import Slot
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.planlog import MIN_LOG_GAP_S, PlanLog
from ochreway_runtime.logs import EventLog

SERVICE = ServiceName("models")
LARGE, SMALL = ModelName("large"), ModelName("small")
WANTED = {Slot(DomainId("d0"), LARGE): 1, Slot(DomainId("d1"), SMALL): 2}


class Lines(EventLog):
    """Keep the fields of each line."""

    def __init__(self) -> None:
        super().__init__("entry", "e", "error")
        self.kept: list[dict[str, object]] = []

    def event(self, name: str, **fields: object) -> None:
        """Keep a line."""
        self.kept.append({"name": name, **fields})


def plan(large: float, small: float, standing: dict[Slot, int] | None = None) -> PlanSummary:
    """Return a plan for so much work."""
    return PlanSummary(True, {LARGE: large, SMALL: small}, WANTED, standing or {})


class PlanLogTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines = Lines()
        self.log = PlanLog(self.lines)

    def test_a_line_tells_needs_groups_and_loads(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.25, {Slot(DomainId("d1"), SMALL): 1}), 3, 0.0)
        (line,) = self.lines.kept
        self.assertEqual("plan", line["name"])
        self.assertEqual("large:1.00,small:7.25", line["needs"])
        self.assertEqual("large@d0:1,small@d1:2", line["wanted"])
        self.assertEqual("small@d1:1", line["standing"])
        self.assertEqual(3, line["loading"])

    def test_nothing_new_is_not_told_again(self) -> None:
        for n in range(100):
            self.log.log_plan(SERVICE, plan(1.0, 7.0 + 0.01 * (n % 2)), 3 + n % 2, float(n))
        self.assertEqual(1, len(self.lines.kept))

    def test_work_that_turns_is_told(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.log_plan(SERVICE, plan(4.0, 7.0), 0, 1.0)
        self.assertEqual("large:4.00,small:7.00", self.lines.kept[-1]["needs"])

    def test_a_group_more_and_the_first_load_are_told(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.log_plan(SERVICE, plan(1.0, 7.0, {Slot(DomainId("d1"), SMALL): 1}), 0, 1.0)
        self.log.log_plan(SERVICE, plan(1.0, 7.0, {Slot(DomainId("d1"), SMALL): 1}), 1, 2.0)
        self.assertEqual(3, len(self.lines.kept))

    def test_lines_have_a_budget(self) -> None:
        for n in range(200):
            self.log.log_plan(SERVICE, plan(float(n), 1.0), 0, n * 0.02)
        self.assertLessEqual(len(self.lines.kept), 4.0 / MIN_LOG_GAP_S + 1)

    def test_a_new_holder_tells_its_first_plan(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.reset()
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.1)
        self.assertEqual(2, len(self.lines.kept))

    def test_what_changed_within_the_gap_is_told_after_it(self) -> None:
        self.log.log_plan(SERVICE, plan(1.0, 7.0), 0, 0.0)
        self.log.log_plan(SERVICE, plan(4.0, 7.0), 0, 0.1)
        self.assertEqual(1, len(self.lines.kept))
        self.log.log_plan(SERVICE, plan(4.0, 7.0), 0, MIN_LOG_GAP_S)
        self.assertEqual(2, len(self.lines.kept))
