# SPDX-License-Identifier: Apache-2.0
"""Probes without an answer, because of the engine or because this process stalled."""

import asyncio
import selectors

import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.coordination import Coordination
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.formation import PlanSummary
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord, PhaseCause
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.order import Order, OrderOutcome
from ochreway_direct.ports import EngineControl
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import TargetBroke
from ochreway_routing.backoffs import Backoffs
from ochreway_routing.targetlimits import TargetLimits
from ochreway_runtime.logs import EventLog
from ochreway_runtime.looplag import LoopLag
from ochreway_runtime.metrics import Metrics

STATE = EngineState(DomainId("d"), None, (), None)
ENGINE = ListedTarget(InstanceId("i"), ServiceName("s"), "i:1", HallId("h"), engine=STATE)


class VirtualTimeSelector(selectors.SelectSelector):
    """Advance a clock by the time that the loop would wait, without waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run on a virtual clock, so that stalls of this test's own process do not count."""

    def __init__(self) -> None:
        self.clock = VirtualTimeSelector()
        super().__init__(self.clock)

    def time(self) -> float:
        return self.clock.now_s

    def block(self, for_s: float) -> None:
        """Let time pass as if the whole process stood still."""
        self.clock.now_s += for_s


class SilentEngines(EngineControl):
    """Never answer, and optionally block the whole process for a while."""

    def __init__(self, blocked_s: float) -> None:
        self._blocked_s = blocked_s

    async def state(self, address: str, instance: InstanceId, timeout_s: float) -> EngineState:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        loop.block(self._blocked_s)
        await asyncio.sleep(timeout_s)
        raise TargetBroke("no answer")

    async def order(
        self,
        address: str,
        instance: InstanceId,
        order: Order,
        timeout_s: float,
        orders_taken: int | None = None,
    ) -> OrderOutcome:
        return OrderOutcome.UNKNOWN


METRICS = Metrics(None, "entry")


class CoordinationTests(testtools.TestCase):
    def probed(self, blocked_s: float) -> EngineRecord:
        async def work() -> EngineRecord:
            timing = DirectTiming(probe_timeout_s=0.05)
            log = EventLog("entry", "e", "error")
            lag = LoopLag(timing.tick_s, log)
            coordination = Coordination(
                SilentEngines(blocked_s),
                timing,
                CoordinatorTuning(),
                lambda work: work.close(),
                lambda: None,
                lambda: None,
                lag,
                lambda _: False,
                NoticeWatch(Backoffs(), TargetLimits(), log, METRICS),
                log,
                Metrics(None, "entry"),
            )
            loop = asyncio.get_running_loop()
            coordination.update_targets((ENGINE,), loop.time(), -1.0e9)
            record = coordination.coordinator.engines[ENGINE.instance]
            lag.tick(loop.time())
            await coordination._probe(record)
            return record

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            return runner.run(work())

    def coordination(self, metrics: Metrics) -> Coordination:
        log = EventLog("entry", "e", "error")
        timing = DirectTiming()
        return Coordination(
            SilentEngines(0.0),
            timing,
            CoordinatorTuning(),
            lambda work: work.close(),
            lambda: None,
            lambda: None,
            LoopLag(timing.tick_s, log),
            lambda _: False,
            NoticeWatch(Backoffs(), TargetLimits(), log, METRICS),
            log,
            metrics,
        )

    def test_each_plan_with_a_covered_model_is_counted_once(self) -> None:
        """Guards against a count of ticks in place of plans."""
        metrics = Metrics(None, "entry")
        coordination = self.coordination(metrics)
        plans = coordination.coordinator._formation.plans
        for n, covered in enumerate(((), (ModelName("m"),), (ModelName("m"),))):
            plans[ServiceName("s")] = PlanSummary(True, {}, {}, {}, (), covered)
            for tick in range(3):
                coordination.run_tick(n + 0.1 * tick)
        self.assertEqual(2, metrics.counters["plan.covered"])

    def lost_after(self, cause: PhaseCause) -> tuple[GroupId, ...]:
        """Return the groups whose calls are abandoned after a group was dissolved for a cause."""
        coordination = self.coordination(Metrics(None, "entry"))
        group = GroupRecord(
            *(GroupId("g"), Epoch(1), ServiceName("s"), DomainId("d"), ModelName("m")),
            members=(InstanceId("i"),),
            phase=GroupPhase.SERVING,
            since_s=0.0,
        )
        coordination.coordinator.groups[group.group] = group
        coordination.run_tick(0.5)
        group.enter(GroupPhase.DISSOLVING, 1.0, cause)
        coordination.run_tick(1.0)
        return coordination.lost_groups(1.0)

    def test_calls_of_a_group_that_ended_by_itself_are_not_abandoned(self) -> None:
        self.assertEqual((), self.lost_after(PhaseCause.ENDED))

    def test_calls_of_a_group_that_is_lost_or_had_its_time_are_abandoned(self) -> None:
        lost = (PhaseCause.MEMBER_SILENT, PhaseCause.OVERDUE, PhaseCause.WEIGHTS_MISSING)
        for cause in lost:
            self.assertEqual(("g",), self.lost_after(cause))

    def test_an_engine_that_does_not_answer_is_silent(self) -> None:
        record = self.probed(0.0)
        self.assertEqual((1, False), (record.misses, record.probe_pending))

    def test_silence_while_this_process_stood_still_counts_for_nothing(self) -> None:
        record = self.probed(0.5)
        self.assertEqual((0, False), (record.misses, record.probe_pending))
