# SPDX-License-Identifier: Apache-2.0
"""Where requests, orders and questions go while targets have asked to be left alone."""

import asyncio

import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_core.targetnotice import TargetNotice
from ochreway_direct.configuration import RouteKind
from ochreway_direct.coordination import Coordination
from ochreway_direct.coordinator import Assignment, CoordinatorTuning
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.noticewatch import NoticeWatch
from ochreway_direct.order import Leave, Order, OrderOutcome
from ochreway_direct.ports import EngineControl
from ochreway_direct.timing import DirectTiming
from ochreway_platform.errors import TargetTurnedAway
from ochreway_routing.backoffs import Backoffs
from ochreway_routing.targetlimits import TargetLimits
from ochreway_runtime.logs import EventLog
from ochreway_runtime.looplag import LoopLag
from ochreway_runtime.metrics import Metrics
from tests.direct.relaycase import END, Headers, RelayCase, Running, event, stream_head, whole
from tests.direct.test_relay import Writer, good

ENGINE = InstanceId("i")
ASKS_S = 3.0
FIRST_LIFE, NEXT_LIFE = 1000, 2000


async def away(headers: Headers, writer: Writer) -> None:
    more = f"Not-Run: 1\r\nRetry-After: {ASKS_S}\r\n"
    writer.write(whole(headers, "", "503 Busy", more))


async def streamed(headers: Headers, writer: Writer) -> None:
    writer.write(stream_head(headers) + event(1) + END)


class PlainRequestTests(RelayCase):
    kind = RouteKind.SAFE
    serves = staticmethod(good)

    def test_a_target_that_named_a_time_gets_nothing_more_and_did_not_fail(self) -> None:
        async def work(running: Running) -> None:
            for _ in range(5):
                self.assertEqual(200, (await running.ask()).status)
            self.assertEqual(1, len(running.targets[0].seen))
            self.assertEqual(1.0, running.fleet._health[InstanceId("t0")].penalty())
            self.assertEqual(1, running.metrics.counters["retry.backoff"])

        self.relayed(work, away, self.serves)

    def test_without_a_place_a_caller_is_told_the_whole_time_at_once(self) -> None:
        async def work(running: Running) -> None:
            loop = asyncio.get_running_loop()
            await running.ask()
            begun_s = loop.time()
            answer = await running.ask()
            self.assertLess(loop.time() - begun_s, running.tuning.patience_share * 0.4)
            self.assertEqual((503, b"backoff\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), ASKS_S - 0.5)
            self.assertEqual([1, 1], [len(each.seen) for each in running.targets])

        self.relayed(work, away, away)

    def test_a_request_whose_connection_came_too_late_is_not_written(self) -> None:
        async def work(running: Running) -> None:
            # As if the target had asked for time while the connection was being made.
            running.fleet._backoffs = Backoffs()
            now_s = asyncio.get_running_loop().time()
            running.backoffs.record_notice("t0", TargetNotice(ASKS_S), now_s)
            self.assertEqual(200, (await running.ask()).status)
            self.assertEqual([0, 1], [len(each.seen) for each in running.targets])

        self.relayed(work, self.serves, self.serves)


class GroupRequestTests(PlainRequestTests):
    kind = RouteKind.STREAM
    serves = staticmethod(streamed)


class BusyEngines(EngineControl):
    """Turn questions and orders away, and count them."""

    def __init__(self) -> None:
        self.asked = 0

    async def state(self, address: str, instance: InstanceId, timeout_s: float) -> EngineState:
        self.asked += 1
        raise TargetTurnedAway(TargetNotice(ASKS_S))

    async def order(
        self, address: str, instance: InstanceId, order: Order, timeout_s: float
    ) -> OrderOutcome:
        self.asked += 1
        raise TargetTurnedAway(TargetNotice(ASKS_S))


class EngineTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engines = BusyEngines()

    def coordination(self) -> Coordination:
        log, metrics = EventLog("entry", "e", "critical"), Metrics(None, "entry")
        timing = DirectTiming()
        return Coordination(
            *(self.engines, timing, CoordinatorTuning(), lambda work: work.close()),
            *(lambda: None, lambda: None, LoopLag(timing.tick_s, log), lambda _: False),
            *(NoticeWatch(Backoffs(), TargetLimits(), log, metrics), log, metrics),
        )

    def listed(self, born_ms: int | None, port: int) -> ListedTarget:
        state = EngineState(DomainId("d"))
        return ListedTarget(
            *(ENGINE, ServiceName("s"), f"127.0.0.1:{port}", HallId("h")),
            engine=state,
            born_ms=born_ms,
        )

    def play(self, next_born_ms: int | None, stands: bool = True) -> tuple[int, bool, bool]:
        """Ask and order twice; return how often it was reached, and how it is known then."""

        async def work() -> tuple[int, bool, bool]:
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            coordination = self.coordination()
            coordination.listed((self.listed(FIRST_LIFE, port),), 0.0, -1.0e9)
            record = coordination.coordinator.engines[ENGINE]
            await coordination._probe(record)
            if not stands:
                server.close()
            coordination.listed((self.listed(next_born_ms, port),), 0.0, -1.0e9)
            await coordination._probe(record)
            order = Leave(GroupId("g"), Epoch(1))
            await coordination._order(Assignment(ENGINE, record.listed.address, order))
            server.close()
            return self.engines.asked, record.backed_off, record.dead

        return asyncio.run(work())

    def test_an_engine_that_asked_for_time_gets_neither_questions_nor_orders(self) -> None:
        self.assertEqual((1, True, False), self.play(FIRST_LIFE))

    def test_its_end_is_seen_meanwhile(self) -> None:
        self.assertEqual((1, True, True), self.play(FIRST_LIFE, stands=False))

    def test_its_next_life_is_asked_at_once(self) -> None:
        asked, _, _ = self.play(NEXT_LIFE)
        self.assertEqual(2, asked)
