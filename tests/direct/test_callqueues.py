# SPDX-License-Identifier: Apache-2.0
"""Tasks that wait for places, and the events that wake them."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, cast

import testtools

from ochreway_core.ids import Epoch, Fingerprint, GroupId, HallId, InstanceId, Version
from ochreway_core.reason import Reason
from ochreway_direct.configuration import Configuration, Route, RouteKind, Service, Share
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ports.dialect import CallerTerms
from ochreway_direct.queueing.callqueues import CallQueues
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcalls import NO_WAITING_CALLS, WaitingCalls, waiting_key
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.errors import Refused
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_direct.versions.freshness import Freshness, KeyTrust
from ochreway_runtime.metrics import Metrics
from ochreway_standins.engineworld import LARGE, SERVICE, SPEC
from tests.direct.test_sendlimitrelay import ScriptedLimit

HALL = HallId("h")
SLOTS = 2
ENGINE = replace(SPEC, slots=SLOTS)
GROUP = GroupView(GroupId("g"), Epoch(1), SERVICE, LARGE.name, InstanceId("t0"), "a", HALL)
FULL = {"g": SLOTS + 3}


def route(prefix: str, priority: int, objective_s: float) -> Route:
    limits = (2, 60.0, objective_s, 0.2, priority, (Share(SERVICE, 1),))
    return Route(prefix, "care.example", prefix, RouteKind.STREAM, True, True, *limits)


def configuration(*routes: Route, engine: bool = True) -> Configuration:
    service = Service(SERVICE, 100, ENGINE if engine else None)
    return Configuration(Version(1), routes, (service,))


class Bench:
    """Hold the queues and a group that other entries' requests fill."""

    def __init__(self, objective_s: float) -> None:
        self.route = route("/a/", 0, objective_s)
        self.fleet = Fleet(HALL, random.Random(1))
        self.fleet.set_groups([GROUP])
        self.serving = Serving(self.fleet, Freshness(60.0, KeyTrust.WHILE_PROVED))
        self.serving.apply(configuration(self.route, route("/b/", 2, objective_s)))
        self.metrics = Metrics(None, "entry")
        self.queues = CallQueues(
            *(self.serving, self._pick, self._refuse, RelayTuning(), self.metrics),
            random.Random(1),
        )

    def _pick(self, call: Call, beyond: int, now_s: float) -> Attempt | None:
        group = self.fleet.pick_group(SERVICE, LARGE.name, call.tried, ENGINE, beyond, now_s=now_s)
        if group is None:
            return None
        return Attempt(group.leader, "a", HALL, group.group, begun_s=now_s, group=group.group)

    def _refuse(self, _: Call, reason: Reason | None, after_s: float, now_s: float) -> Refused:
        return Refused(503, reason or Reason.QUEUE_FULL, after_s)

    def call(self, name: str = "c", priority: int = 0, limit_s: float = 60.0) -> Call:
        now_s = asyncio.get_running_loop().time()
        terms = cast(CallerTerms, type("Terms", (), {"model": LARGE.name})())
        return Call(
            *(cast(Any, None), terms, self.route, SERVICE, None, priority, b"", now_s),
            *(now_s + limit_s, 1.0, Fingerprint(name), ENGINE),
        )

    def wait(self, call: Call) -> "asyncio.Task[Attempt]":
        return asyncio.create_task(self.queues.place(call))

    def end(self, attempt: Attempt) -> None:
        self.fleet.end(attempt, False)
        self.queues.on_ended(attempt, None, False)


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


class CallQueuesTests(testtools.TestCase):
    def run_bench(
        self, work: Callable[[Bench], Awaitable[None]], objective_s: float = 30.0
    ) -> None:
        async def run() -> None:
            bench = Bench(objective_s)
            async with asyncio.timeout(10.0):
                await work(bench)
            self.assertEqual(0.0, bench.queues.gauges()["queue_length"])
            self.assertEqual(0, len(bench.queues._given))
            self.assertEqual({}, bench.fleet.under_way())

        asyncio.run(run())

    def test_a_place_left_to_a_more_urgent_call_elsewhere_is_given_when_its_time_ends(
        self,
    ) -> None:
        """Guards against a place that stays unused as no event follows."""

        async def work(bench: Bench) -> None:
            loop, key = asyncio.get_running_loop(), waiting_key((True, 0, 0), LARGE.name)
            waiting = WaitingCalls({key: 1}, {LARGE.name: 1})
            bench.fleet.set_remote_queues("e", waiting, {})
            bench.fleet.set_remote_work("e", {"g": SLOTS - 1})
            began_s = loop.time()
            task = bench.wait(bench.call(priority=2))
            await settle()
            told = bench.queues.report().waiting
            self.assertEqual({waiting_key((True, 2, 0), LARGE.name): 1}, told.calls)
            attempt = await task
            self.assertGreaterEqual(loop.time() - began_s, QueueTuning().max_hold_s)
            report = bench.queues.report()
            self.assertEqual((NO_WAITING_CALLS, {"": 1}), (report.waiting, dict(report.served_by)))
            bench.end(attempt)

        self.run_bench(work)

    def test_a_free_place_is_given_at_once(self) -> None:
        async def work(bench: Bench) -> None:
            bench.end(await bench.queues.place(bench.call()))
            self.assertNotIn("queue.waited", bench.metrics.counters)

        self.run_bench(work)

    def test_a_waiting_call_is_woken_by_each_event_that_frees_a_place(self) -> None:
        """Guards against calls that wait on while there is a place for them."""

        async def work(bench: Bench) -> None:
            fleet = bench.fleet
            events: list[tuple[Callable[[], None], Callable[[], None]]] = [
                (lambda: fleet.set_remote_work("e", FULL), lambda: fleet.drop_remote_work("e")),
                (lambda: fleet.set_remote_work("e", FULL), lambda: fleet.set_remote_work("e", {})),
                (lambda: fleet.set_groups([]), lambda: fleet.set_groups([GROUP])),
                (lambda: fleet.set_leaving([GROUP.leader]), lambda: fleet.set_leaving([])),
            ]
            for block, free in events:
                block()
                waiting = bench.wait(bench.call())
                await settle()
                self.assertFalse(waiting.done())
                free()
                await settle()
                self.assertTrue(waiting.done())
                bench.end(waiting.result())
            self.assertEqual(len(events), bench.metrics.counters["queue.waited"])

        self.run_bench(work)

    def test_a_waiting_call_is_woken_at_the_end_of_a_limits_window(self) -> None:
        """Guards against calls that wait for an event that never comes."""

        async def work(bench: Bench) -> None:
            loop = asyncio.get_running_loop()
            until_s = loop.time() + 0.1

            class Window(ScriptedLimit):
                def allows(self, *_: object) -> bool:
                    return loop.time() >= until_s

                def wait_s(self, *_: object) -> float:
                    return max(0.0, until_s - loop.time())

            bench.fleet._limit = Window()
            attempt = await bench.queues.place(bench.call())
            self.assertLess(loop.time() - until_s, 0.05)
            bench.end(attempt)

        self.run_bench(work)

    def test_a_window_that_ends_beside_a_full_group_wakes_a_call(self) -> None:
        """Guards against calls that wait for a full group while another may be sent to."""

        async def work(bench: Bench) -> None:
            loop = asyncio.get_running_loop()
            until_s = loop.time() + 0.1
            other = replace(GROUP, group=GroupId("g2"), leader=InstanceId("t1"))

            class Window(ScriptedLimit):
                def allows(self, _: object, instance: str, now_s: float) -> bool:
                    return self.wait_s(_, instance, now_s) <= 0.0

                def wait_s(self, _: object, instance: str, now_s: float) -> float:
                    return max(0.0, until_s - loop.time()) if instance == "t1" else 0.0

            bench.fleet._limit = Window()
            bench.fleet.set_groups([GROUP, other])
            bench.fleet.set_remote_work("e", FULL)
            attempt = await bench.queues.place(bench.call())
            self.assertEqual("g2", attempt.candidate)
            self.assertLess(loop.time() - until_s, 0.05)
            bench.end(attempt)

        self.run_bench(work)

    def test_no_wake_up_is_lost_in_any_order_of_events(self) -> None:
        """Guards against lost wake-ups, lost places, and two calls on one place."""

        async def work(bench: Bench) -> None:
            for seed in range(40):
                await self.shuffle(bench, random.Random(seed))

        self.run_bench(work)

    async def shuffle(self, bench: Bench, rng: random.Random) -> None:
        bench.fleet.set_remote_work("e", FULL)
        calls = [bench.call(f"c{n}", rng.choice((0, 2))) for n in range(15)]
        tasks = [bench.wait(each) for each in calls]
        await settle()
        ended: set[int] = set()

        def end_some() -> None:
            for number, task in enumerate(tasks):
                if task.done() and not task.cancelled() and number not in ended:
                    ended.add(number)
                    bench.end(task.result())
                    return

        def cancel_one() -> None:
            number = rng.randrange(len(tasks))
            if number not in ended:
                tasks[number].cancel()
                ended.update({number} if tasks[number].cancelled() else ())

        events = [end_some] * 30 + [cancel_one] * 4
        events += [lambda: bench.fleet.set_remote_work("e", {"g": rng.randrange(6)})] * 10
        events += [lambda: bench.fleet.set_groups(rng.choice(([], [GROUP])))] * 4
        rng.shuffle(events)
        for event in events:
            event()
            load = bench.fleet.under_way()["g"]
            self.assertLessEqual(load, SLOTS + 3)
            for _ in range(rng.randrange(3)):
                await asyncio.sleep(0)
        bench.fleet.set_groups([GROUP])
        bench.fleet.drop_remote_work("e")
        while not all(task.done() for task in tasks) or bench.fleet.under_way():
            end_some()
            await asyncio.sleep(0)

    def test_a_caller_that_leaves_frees_its_place_in_the_queue(self) -> None:
        async def work(bench: Bench) -> None:
            bench.fleet.set_remote_work("e", FULL)
            gone, stays = bench.wait(bench.call("gone")), bench.wait(bench.call("stays"))
            await settle()
            gone.cancel()
            bench.fleet.drop_remote_work("e")
            bench.end(await stays)
            self.assertTrue(gone.cancelled())

        self.run_bench(work)

    def test_a_caller_that_leaves_as_it_gets_a_place_gives_it_back(self) -> None:
        """Guards against places that are counted for callers who are gone."""

        async def work(bench: Bench) -> None:
            bench.fleet.set_remote_work("e", FULL)
            gone = bench.wait(bench.call("gone"))
            await settle()
            bench.fleet.drop_remote_work("e")
            bench.queues._updates.update_all()
            self.assertEqual(1, bench.fleet.under_way()["g"])
            gone.cancel()
            await settle()
            self.assertTrue(gone.cancelled())

        self.run_bench(work)

    def test_a_place_at_a_group_that_is_lost_before_the_call_is_sent_is_given_back(self) -> None:
        """Guards against calls that count as run although nothing was sent."""

        async def work(bench: Bench) -> None:
            other = replace(GROUP, group=GroupId("g2"), leader=InstanceId("t1"))
            bench.fleet.set_remote_work("e", FULL)
            waiting = bench.wait(bench.call())
            await settle()
            bench.fleet.drop_remote_work("e")
            bench.queues._updates.update_all()
            self.assertEqual(1, bench.fleet.under_way()["g"])
            bench.fleet.set_groups([other])
            bench.fleet.abandon(GROUP.group)
            attempt = await waiting
            self.assertEqual("g2", attempt.candidate)
            bench.end(attempt)

        self.run_bench(work)

    def test_calls_that_only_closed_halls_could_take_are_refused(self) -> None:
        """Guards against callers who wait for a hall that is drained."""

        async def work(bench: Bench) -> None:
            bench.fleet.set_remote_work("e", FULL)
            waiting = bench.wait(bench.call())
            await settle()
            bench.fleet.set_closed_halls(frozenset({HALL}))
            refused = (await asyncio.gather(waiting, return_exceptions=True))[0]
            assert isinstance(refused, Refused)
            self.assertIs(Reason.HALL_DRAINED, refused.reason)

        self.run_bench(work)

    def test_a_stall_does_not_refuse_calls_that_can_be_served_at_once(self) -> None:
        """Guards against refusals after a stall, before freed places were noticed."""

        async def work(bench: Bench) -> None:
            bench.fleet.set_remote_work("e", FULL)
            waiting = bench.wait(bench.call())
            await settle()
            self.assertFalse(waiting.done())
            time.sleep(0.6)  # noqa: ASYNC251
            await asyncio.sleep(0.03)
            self.assertFalse(waiting.done())
            bench.fleet.drop_remote_work("e")
            bench.end(await waiting)

        self.run_bench(work, objective_s=0.6)

    def test_a_call_whose_time_is_over_after_a_stall_is_not_sent(self) -> None:
        """Guards against requests that are sent after the caller has given up."""

        async def work(bench: Bench) -> None:
            bench.fleet.set_remote_work("e", FULL)
            waiting = bench.wait(bench.call(limit_s=1.0))
            await settle()
            bench.fleet.drop_remote_work("e")
            bench.queues._updates.update_all()
            time.sleep(1.05)  # noqa: ASYNC251
            refused = await asyncio.gather(waiting, return_exceptions=True)
            assert isinstance(refused[0], Refused)
            self.assertIs(Reason.DEADLINE_PASSED, refused[0].reason)

        self.run_bench(work)

    def test_a_hopeless_call_is_refused_before_its_time_is_over(self) -> None:
        """Guards against waiting that ends unserved."""

        async def work(bench: Bench) -> None:
            bench.fleet.set_remote_work("e", FULL)
            call = bench.call()
            begun_s = asyncio.get_running_loop().time()
            refused = (await asyncio.gather(bench.wait(call), return_exceptions=True))[0]
            assert isinstance(refused, Refused)
            self.assertLess(asyncio.get_running_loop().time() - begun_s, 0.1)
            self.assertEqual(0, call.queue_rank)
            assert call.forecast_s is not None
            self.assertGreater(call.forecast_s, 0.0)

        self.run_bench(work, objective_s=0.05)


class SwitchTests(testtools.TestCase):
    """The queue is used for services with engines and routes of different priority only."""

    def applies(self, *routes: Route, engine: bool = True) -> bool:
        async def run() -> bool:
            bench = Bench(1.0)
            bench.serving.routes = None
            bench.serving.apply(configuration(*routes, engine=engine))
            return bench.queues.applies_to(bench.call())

        return asyncio.run(run())

    def test_routes_of_different_priority_call_for_the_queue(self) -> None:
        self.assertTrue(self.applies(route("/a/", 0, 1.0), route("/b/", 1, 1.0)))

    def test_routes_of_one_priority_do_not(self) -> None:
        self.assertFalse(self.applies(route("/a/", 1, 1.0), route("/b/", 1, 1.0)))

    def test_a_plain_service_does_not(self) -> None:
        routes = (route("/a/", 0, 1.0), route("/b/", 1, 1.0))
        self.assertFalse(self.applies(*routes, engine=False))
