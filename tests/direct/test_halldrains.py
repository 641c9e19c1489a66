# SPDX-License-Identifier: Apache-2.0
"""Order of readings of the drained halls, and the time for which each hall stays open."""

import asyncio
import random
import socket
import time
from collections.abc import Callable

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId
from ochreway_direct.drains.drainkeeper import DrainKeeper
from ochreway_direct.drains.halldrains import SEND_MARGIN_S, HallDrains
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.messages import DrainNews
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

BOUND_S = 5.0
OPEN_S = BOUND_S - SEND_MARGIN_S
ONE, OTHER = HallId("one"), HallId("other")


def reading(version: int, *halls: HallId) -> DrainedHalls:
    return DrainedHalls(version, halls)


class OrderTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.drains = HallDrains(BOUND_S)

    def test_before_any_reading_nothing_is_known(self) -> None:
        self.assertFalse(self.drains.known)
        self.drains.on_store_reading(reading(0), 1.0)
        self.assertFalse(self.drains.known)
        self.drains.on_store_reading(reading(1), 2.0)
        self.assertTrue(self.drains.known)

    def test_a_late_reading_does_not_drain_a_restored_hall_again(self) -> None:
        self.drains.on_store_reading(reading(5, ONE), 1.0)
        self.drains.on_store_reading(reading(7), 2.0)
        self.assertFalse(self.drains.on_entry_reading(reading(6, ONE), {ONE: 0.0}))
        self.assertEqual(frozenset(), self.drains.draining())

    def test_a_late_reading_does_not_open_a_drained_hall(self) -> None:
        self.drains.on_store_reading(reading(7, ONE), 1.0)
        self.assertFalse(self.drains.on_entry_reading(reading(6), {}))
        self.assertEqual({ONE}, self.drains.closed(1.0))

    def test_halls_are_restored_in_another_order_than_drained(self) -> None:
        self.drains.on_store_reading(reading(1), 1.0)
        self.drains.on_store_reading(reading(2, ONE), 2.0)
        self.drains.on_store_reading(reading(3, ONE, OTHER), 3.0)
        self.drains.on_store_reading(reading(4, OTHER), 4.0)
        self.assertEqual({OTHER}, self.drains.draining())
        self.drains.on_store_reading(reading(5, ONE, OTHER), 5.0)
        # Drained again, the first hall has its time from the last reading without it.
        self.assertEqual(4.0 + OPEN_S - 5.0, self.drains.left_s(ONE, 5.0))
        self.assertEqual(2.0 + OPEN_S - 5.0, self.drains.left_s(OTHER, 5.0))

    def test_a_hall_drained_again_while_this_entry_was_isolated_stays_closed(self) -> None:
        self.drains.on_store_reading(reading(1), 1.0)
        self.drains.on_store_reading(reading(2, ONE), 2.0)
        self.assertEqual({ONE}, self.drains.closed(9.0))
        self.drains.on_entry_reading(reading(8, ONE), {ONE: 9.0})
        self.assertEqual({ONE}, self.drains.closed(9.0))

    @seed(1)
    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.integers(0, 8), max_size=30), st.integers(0, 2**32))
    def test_the_newest_reading_counts_whatever_the_order(
        self, order: list[int], random_seed: int
    ) -> None:
        rng = random.Random(random_seed)
        readings = [reading(v, *(h for h in (ONE, OTHER) if rng.random() < 0.5)) for v in range(9)]
        drains = HallDrains(BOUND_S)
        for at_s, version in enumerate(order):
            if rng.random() < 0.5:
                drains.on_store_reading(readings[version], float(at_s))
            else:
                drains.on_entry_reading(readings[version], {})
        newest = max(order, default=0)
        expected = frozenset(readings[newest].halls) if newest else frozenset()
        self.assertEqual(expected, drains.draining())


class TimeTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.drains = HallDrains(BOUND_S)

    def test_a_hall_is_open_until_the_bound_from_the_last_reading_without_it(self) -> None:
        self.drains.on_store_reading(reading(1), 10.0)
        self.drains.on_store_reading(reading(1), 11.0)
        self.drains.on_store_reading(reading(2, ONE), 12.5)
        self.assertEqual({ONE}, self.drains.draining())
        self.assertEqual(frozenset(), self.drains.closed(11.0 + OPEN_S - 0.01))
        self.assertEqual({ONE}, self.drains.closed(11.0 + OPEN_S))

    def test_later_readings_with_the_hall_give_it_no_more_time(self) -> None:
        self.drains.on_store_reading(reading(1), 10.0)
        for version in range(2, 9):
            self.drains.on_store_reading(reading(version, ONE), 10.0 + version)
        self.assertEqual({ONE}, self.drains.closed(10.0 + OPEN_S))

    def test_a_hall_that_the_first_reading_shows_is_closed_at_once(self) -> None:
        self.drains.on_store_reading(reading(4, ONE), 10.0)
        self.assertEqual({ONE}, self.drains.closed(10.0))

    def test_a_received_reading_without_an_echo_closes_a_hall_at_once(self) -> None:
        self.drains.on_entry_reading(reading(4, ONE), {})
        self.assertEqual({ONE}, self.drains.closed(10.0))

    def test_a_received_reading_counts_from_the_last_one_without_the_hall(self) -> None:
        self.drains.on_entry_reading(reading(4, ONE), {ONE: 9.0})
        self.assertEqual(frozenset(), self.drains.closed(9.0 + OPEN_S - 0.01))
        self.assertEqual({ONE}, self.drains.closed(9.0 + OPEN_S))

    def test_the_later_of_the_own_and_the_other_entrys_bound_holds(self) -> None:
        for received_bound_s, expected_s in ((8.0, 10.0), (12.0, 12.0)):
            drains = HallDrains(BOUND_S)
            drains.on_store_reading(reading(1), 10.0)
            drains.on_entry_reading(reading(4, ONE), {ONE: received_bound_s})
            self.assertEqual(expected_s + OPEN_S - 13.0, drains.left_s(ONE, 13.0))

    def test_a_later_bound_for_the_same_reading_opens_a_hall_closed_without_one(
        self,
    ) -> None:
        self.drains.on_entry_reading(reading(4, ONE), {})
        self.assertEqual({ONE}, self.drains.closed(10.0))
        self.assertFalse(self.drains.on_entry_reading(reading(4, ONE), {ONE: 9.0, OTHER: 9.0}))
        self.assertEqual(9.0 + OPEN_S - 10.0, self.drains.left_s(ONE, 10.0))
        self.assertEqual({ONE}, self.drains.closed(9.0 + OPEN_S))
        self.assertEqual({ONE}, self.drains.unseen_age_s(10.0).keys())

    def test_an_earlier_bound_or_one_of_another_reading_changes_nothing(self) -> None:
        self.drains.on_entry_reading(reading(4, ONE), {ONE: 9.0})
        self.drains.on_entry_reading(reading(4, ONE), {ONE: 8.0})
        self.drains.on_entry_reading(reading(3, ONE), {ONE: 9.5})
        self.assertEqual(9.0 + OPEN_S - 10.0, self.drains.left_s(ONE, 10.0))
        self.drains.on_entry_reading(reading(5, ONE), {ONE: 9.5})
        self.assertEqual(9.0 + OPEN_S - 10.0, self.drains.left_s(ONE, 10.0))

    def test_a_bound_that_is_shorter_than_the_margin_closes_at_once(self) -> None:
        drains = HallDrains(SEND_MARGIN_S / 2)
        drains.on_store_reading(reading(1), 10.0)
        drains.on_store_reading(reading(2, ONE), 10.1)
        self.assertEqual({ONE}, drains.closed(10.1))


class KeeperTests(testtools.TestCase):
    def run_with_keeper(self, work: Callable[["KeeperTests"], None]) -> None:
        async def run() -> None:
            self.log = RecordedLog()
            self.metrics = Metrics(None, "entry")
            self.planned: list[frozenset[HallId]] = []
            self.change_count = 0
            self.now_s = asyncio.get_running_loop().time()
            self.keeper = DrainKeeper(
                HallDrains(BOUND_S),
                Fleet(ONE, random.Random(1)),
                self.planned.append,
                self._count_change,
                self.log,
                self.metrics,
            )
            work(self)

        asyncio.run(run())

    def _count_change(self) -> None:
        self.change_count += 1

    def test_planning_ends_at_once_and_sending_with_a_tick(self) -> None:
        def work(case: KeeperTests) -> None:
            case.keeper.on_store_reading(reading(1), case.now_s)
            case.keeper.on_store_reading(reading(2, ONE), case.now_s)
            self.assertEqual([frozenset({ONE})], case.planned)
            self.assertEqual({"halls_draining": 1.0, "halls_closed": 0.0}, case.keeper.gauges())
            case.keeper.tick(case.now_s + OPEN_S)
            self.assertEqual({"halls_draining": 1.0, "halls_closed": 1.0}, case.keeper.gauges())
            self.assertEqual({ONE}, case.keeper._fleet._closed_halls)

        self.run_with_keeper(work)

    def test_a_restored_hall_is_open_at_once(self) -> None:
        def work(case: KeeperTests) -> None:
            case.keeper.on_store_reading(reading(2, ONE), case.now_s)
            case.keeper.on_store_reading(reading(3), case.now_s)
            self.assertEqual([frozenset({ONE}), frozenset()], case.planned)
            self.assertEqual(frozenset(), case.keeper._fleet._closed_halls)

        self.run_with_keeper(work)

    def test_each_change_is_announced_once_and_logged(self) -> None:
        def work(case: KeeperTests) -> None:
            case.keeper.on_store_reading(reading(1), case.now_s)
            case.keeper.on_store_reading(reading(2, ONE), case.now_s)
            case.keeper.on_store_reading(reading(3, ONE), case.now_s)
            case.keeper.tick(case.now_s + OPEN_S)
            case.keeper.on_store_reading(reading(4), case.now_s)
            self.assertEqual(2, case.change_count)
            expected = ["hall_draining", "hall_closed", "hall_restored"]
            self.assertEqual(expected, case.log.names)
            counted = {f"hall.{each}" for each in ("draining", "closed", "restored")}
            self.assertEqual(dict.fromkeys(counted, 1), dict(case.metrics.counters))
            self.assertEqual(
                ("one", 2), tuple(case.log.events[0][1][k] for k in ("hall", "version"))
            )

        self.run_with_keeper(work)

    def test_after_a_pause_the_hall_is_closed_before_any_request_is_accepted(
        self,
    ) -> None:
        seen: list[dict[str, float]] = []

        async def request(keeper: DrainKeeper) -> None:
            seen.append(keeper.gauges())

        async def run() -> None:
            loop = asyncio.get_running_loop()
            keeper = DrainKeeper(
                HallDrains(SEND_MARGIN_S + 0.05),
                Fleet(ONE, random.Random(1)),
                lambda halls: None,
                lambda: None,
                RecordedLog(),
                Metrics(None, "entry"),
            )
            keeper.on_store_reading(reading(1), loop.time())
            keeper.on_store_reading(reading(2, ONE), loop.time())
            arrived, entry = socket.socketpair()
            arrived.setblocking(False)
            entry.setblocking(False)
            loop.add_reader(entry, lambda: [entry.recv(1), loop.create_task(request(keeper))])
            time.sleep(0.2)
            arrived.send(b"r")
            await asyncio.sleep(0.05)
            loop.remove_reader(entry)
            arrived.close()
            entry.close()

        asyncio.run(run())
        self.assertEqual([{"halls_draining": 1.0, "halls_closed": 1.0}], seen)

    def test_a_hall_closed_without_an_echo_opens_with_the_first_echo(self) -> None:
        def work(case: KeeperTests) -> None:
            news = DrainNews(reading(2, ONE), {ONE: 0.5})
            case.keeper.on_drain_news(news, None)
            self.assertEqual({ONE}, case.keeper._fleet._closed_halls)
            case.keeper.on_drain_news(news, case.now_s)
            self.assertEqual(frozenset(), case.keeper._fleet._closed_halls)
            case.keeper.tick(case.now_s + OPEN_S)
            self.assertEqual({ONE}, case.keeper._fleet._closed_halls)
            self.assertEqual(1, case.change_count)

        self.run_with_keeper(work)

    def test_forwarded_news_extend_no_bound(self) -> None:
        def work(case: KeeperTests) -> None:
            news = DrainNews(reading(2, ONE), {ONE: 1.5})
            case.keeper.on_drain_news(news, case.now_s - 0.4)
            forwarded = case.keeper.current_news(case.now_s)
            self.assertAlmostEqual(1.9, forwarded.unseen_age_s[ONE], 6)
            self.assertEqual(news.drained, forwarded.drained)

        self.run_with_keeper(work)
