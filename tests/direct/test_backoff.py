# SPDX-License-Identifier: Apache-2.0
"""Requests, orders and state queries while targets have asked for a backoff."""

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
from tests.direct.relaycase import (
    LAST_CHUNK,
    Headers,
    RelayCase,
    RunningRelay,
    complete_response,
    event_chunk,
    stream_response_head,
)
from tests.direct.test_relay import Writer, good

ENGINE = InstanceId("i")
RETRY_AFTER_S = 3.0
FIRST_INCARNATION_MS, NEXT_INCARNATION_MS = 1000, 2000


async def backing_off(headers: Headers, writer: Writer) -> None:
    extra_headers = f"Not-Run: 1\r\nRetry-After: {RETRY_AFTER_S}\r\n"
    writer.write(complete_response(headers, "", "503 Busy", extra_headers))


async def streamed(headers: Headers, writer: Writer) -> None:
    writer.write(stream_response_head(headers) + event_chunk(1) + LAST_CHUNK)


class PlainRequestTests(RelayCase):
    kind = RouteKind.SAFE
    answering_script = staticmethod(good)

    def test_a_target_that_backs_off_gets_no_more_requests_and_counts_as_healthy(self) -> None:
        async def work(running: RunningRelay) -> None:
            for _ in range(5):
                self.assertEqual(200, (await running.send_request()).status)
            self.assertEqual(1, len(running.targets[0].seen))
            self.assertEqual(1.0, running.fleet._health[InstanceId("t0")].penalty())
            self.assertEqual(1, running.metrics.counters["retry.backoff"])

        self.run_with_relay(work, backing_off, self.answering_script)

    def test_with_all_targets_backing_off_the_full_wait_is_returned_at_once(self) -> None:
        async def work(running: RunningRelay) -> None:
            loop = asyncio.get_running_loop()
            await running.send_request()
            begun_s = loop.time()
            answer = await running.send_request()
            self.assertLess(loop.time() - begun_s, running.tuning.max_wait_share * 0.4)
            self.assertEqual((503, b"backoff\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), RETRY_AFTER_S - 0.5)
            self.assertEqual([1, 1], [len(target.seen) for target in running.targets])

        self.run_with_relay(work, backing_off, backing_off)

    def test_a_request_is_not_written_if_the_target_backed_off_while_connecting(self) -> None:
        async def work(running: RunningRelay) -> None:
            # As if the target had asked for a backoff while the connection was being made.
            running.fleet._backoffs = Backoffs()
            now_s = asyncio.get_running_loop().time()
            running.backoffs.record_notice("t0", TargetNotice(RETRY_AFTER_S), now_s)
            self.assertEqual(200, (await running.send_request()).status)
            self.assertEqual([0, 1], [len(target.seen) for target in running.targets])

        self.run_with_relay(work, self.answering_script, self.answering_script)


class GroupRequestTests(PlainRequestTests):
    kind = RouteKind.STREAM
    answering_script = staticmethod(streamed)


class BusyEngines(EngineControl):
    """Reject state queries and orders, and count them."""

    def __init__(self) -> None:
        self.calls = 0

    async def state(self, address: str, instance: InstanceId, timeout_s: float) -> EngineState:
        self.calls += 1
        raise TargetTurnedAway(TargetNotice(RETRY_AFTER_S))

    async def order(
        self,
        address: str,
        instance: InstanceId,
        order: Order,
        timeout_s: float,
        orders_taken: int | None = None,
    ) -> OrderOutcome:
        self.calls += 1
        raise TargetTurnedAway(TargetNotice(RETRY_AFTER_S))


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

    def run_two_rounds(
        self, next_born_ms: int | None, listening: bool = True
    ) -> tuple[int, bool, bool]:
        """Query twice and order once; return the calls that reached the engine and its state."""

        async def work() -> tuple[int, bool, bool]:
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            coordination = self.coordination()
            coordination.update_targets((self.listed(FIRST_INCARNATION_MS, port),), 0.0, -1.0e9)
            record = coordination.coordinator.engines[ENGINE]
            await coordination._probe(record)
            if not listening:
                server.close()
            coordination.update_targets((self.listed(next_born_ms, port),), 0.0, -1.0e9)
            await coordination._probe(record)
            order = Leave(GroupId("g"), Epoch(1))
            await coordination._send_order(Assignment(ENGINE, record.listed.address, order))
            server.close()
            return self.engines.calls, record.backed_off, record.dead

        return asyncio.run(work())

    def test_an_engine_that_backs_off_gets_neither_queries_nor_orders(self) -> None:
        self.assertEqual((1, True, False), self.run_two_rounds(FIRST_INCARNATION_MS))

    def test_the_end_of_an_engine_that_backs_off_is_noticed(self) -> None:
        self.assertEqual(
            (1, True, True), self.run_two_rounds(FIRST_INCARNATION_MS, listening=False)
        )

    def test_the_next_incarnation_is_queried_at_once(self) -> None:
        reached, _, _ = self.run_two_rounds(NEXT_INCARNATION_MS)
        self.assertEqual(2, reached)
