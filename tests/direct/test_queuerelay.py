# SPDX-License-Identifier: Apache-2.0
"""Calls that wait in the queue of a relay, over real sockets."""

import asyncio
from dataclasses import replace

from ochreway_core.ids import OrganisationId, Version
from ochreway_core.reason import Reason
from ochreway_direct.configuration import Configuration, Organisation, RouteKind, Service, Share
from ochreway_direct.configuration import Route as ConfiguredRoute
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.errors import Refused
from ochreway_standins.engineworld import SERVICE, SPEC
from tests.direct.relaycase import (
    LAST_CHUNK,
    Answer,
    Headers,
    RelayCase,
    RunningRelay,
    complete_response,
    event_chunk,
    stream_response_head,
)

SLOTS = 2
RUN_S = 0.15
ENGINE = replace(SPEC, slots=SLOTS, usual_answer_tokens=15)
"""Engines that usually take as long as the targets of the tests."""
URGENT, LEAST = "/a/x", "/b/x"


async def answer(headers: Headers, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_response_head(headers) + event_chunk(1))
    await asyncio.sleep(RUN_S)
    writer.write(LAST_CHUNK)


class QueueCase(RelayCase):
    kind = RouteKind.STREAM
    resumable = True
    urgent_s = 0.4

    def configuration(self) -> Configuration:
        def route(prefix: str, priority: int, objective_s: float) -> ConfiguredRoute:
            limits = (2, 4.0, objective_s, 0.2, priority, (Share(SERVICE, 1),))
            return ConfiguredRoute(
                *(prefix, "care.example", prefix, RouteKind.STREAM, True, False, *limits)
            )

        routes = (route("/a/", 0, self.urgent_s), route("/b/", 2, 0.8))
        organisation = Organisation(OrganisationId("ann"), ("secret",))
        services = (Service(SERVICE, 100, ENGINE),)
        return Configuration(Version(1), routes, services, (organisation,), self.limits)

    def send(self, running: RunningRelay, path: str, name: str) -> "asyncio.Task[Answer]":
        return asyncio.create_task(running.send_request(path + "?" + name, Request=name))


class QueueRelayTests(QueueCase):
    def test_urgent_calls_pass_a_burst_of_the_least_urgent_kind(self) -> None:
        """Guards against urgent calls behind a burst, and refused calls that are sent."""

        async def work(running: RunningRelay) -> None:
            least = {f"b{n}": self.send(running, LEAST, f"b{n}") for n in range(30)}
            await asyncio.sleep(0.05)
            urgent = {f"u{n}": self.send(running, URGENT, f"u{n}") for n in range(3)}
            statuses = {name: (await task).status for name, task in {**least, **urgent}.items()}
            seen = [headers["request"] for headers in running.targets[0].seen]
            self.assertEqual(len(seen), len(set(seen)))
            self.assertEqual({n for n, each in statuses.items() if each == 200}, set(seen))
            self.assertLessEqual(set(urgent), set(seen))
            first_sent = SLOTS + running.tuning.max_queued
            last_urgent = max(seen.index(name) for name in urgent)
            self.assertLess(last_urgent, first_sent + len(urgent) + 1)
            self.assertIn(503, statuses.values())
            self.assertGreater(running.metrics.counters["queue.waited"], 0)
            self.assertEqual(0.0, running.relay.queues.gauges()["queue_length"])

        self.run_with_relay(work, answer)

    def test_a_caller_that_disconnects_is_not_sent(self) -> None:
        """Guards against places for callers who have left."""

        async def work(running: RunningRelay) -> None:
            full = SLOTS + running.tuning.max_queued
            others = [self.send(running, LEAST, f"b{n}") for n in range(full)]
            await asyncio.sleep(0.05)
            gone = self.send(running, LEAST, "gone")
            await asyncio.sleep(0.03)
            self.assertEqual(1.0, running.relay.queues.gauges()["queue_length"])
            gone.cancel()
            await asyncio.sleep(0.03)
            self.assertEqual(0.0, running.relay.queues.gauges()["queue_length"])
            await asyncio.gather(*others)
            seen = {headers["request"] for headers in running.targets[0].seen}
            self.assertNotIn("gone", seen)

        self.run_with_relay(work, answer)

    def test_a_call_that_may_not_be_sent_gives_its_place_back(self) -> None:
        """Guards against places that stay counted for calls that were refused."""

        async def work(running: RunningRelay) -> None:
            async def untrusted(_: Call) -> None:
                raise Refused(503, Reason.STALE_VERSION, 1.0)

            running.relay._check_may_send = untrusted  # type: ignore[method-assign]
            self.assertEqual(503, (await running.send_request(URGENT)).status)
            self.assertEqual({}, running.fleet.under_way())
            self.assertEqual(0, len(running.relay.queues._given))
            self.assertEqual([], running.targets[0].seen)

        self.run_with_relay(work, answer)

    def test_a_group_that_is_lost_before_a_call_is_sent_has_not_run_it(self) -> None:
        """Guards against an answer that says that a request may have run when it was not sent."""

        async def work(running: RunningRelay) -> None:
            check = running.relay._check_may_send

            async def slow(call: Call) -> None:
                await check(call)
                running.fleet.set_groups([])

            running.relay._check_may_send = slow  # type: ignore[method-assign]
            reply = await running.send_request(URGENT)
            self.assertEqual((503, b"no_group\n"), (reply.status, reply.body))
            self.assertEqual([], running.targets[0].seen)
            self.assertEqual({}, running.fleet.under_way())

        self.run_with_relay(work, answer)

    def test_a_call_that_its_only_group_rejects_does_not_wait_for_other_places(self) -> None:
        """Guards against callers who wait for two objectives and are refused all the same."""

        async def reject(headers: Headers, writer: asyncio.StreamWriter) -> None:
            writer.write(complete_response(headers, "", "503 Busy", "Not-Run: 1\r\n"))

        async def work(running: RunningRelay) -> None:
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            self.assertEqual(503, (await running.send_request(URGENT)).status)
            self.assertLess(loop.time() - begun_s, self.urgent_s)
            self.assertEqual(1, len(running.targets[0].seen))

        self.run_with_relay(work, reject)

    def test_a_refusal_is_logged_with_rank_and_forecast(self) -> None:
        async def work(running: RunningRelay) -> None:
            lines: list[dict[str, object]] = []
            log = running.relay._call_log._log
            log.failure = lambda event, **fields: lines.append(fields)  # type: ignore[method-assign]
            await asyncio.gather(*(self.send(running, LEAST, f"b{n}") for n in range(40)))
            refused = [each for each in lines if each.get("reason") == "queue_full"]
            self.assertGreater(len(refused), 0)
            for each in refused:
                self.assertGreaterEqual(int(str(each["rank"])), 0)
                self.assertGreater(float(str(each["forecast_s"])), 0.0)

        self.run_with_relay(work, answer)


async def lost(headers: Headers, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_response_head(headers) + event_chunk(1))
    await writer.drain()
    writer.close()


class ResumedTests(QueueCase):
    """Targets of which the preferred one breaks off every answer."""

    def test_an_answer_that_broke_off_goes_on_before_new_calls(self) -> None:
        """Guards against answers that break off because new calls got the places."""

        async def work(running: RunningRelay) -> None:
            replies = await asyncio.gather(
                *(self.send(running, LEAST, f"b{n}") for n in range(8)),
            )
            begun = [each for each in replies if each.status == 200]
            self.assertGreater(len(begun), 0)
            self.assertEqual([], [each for each in begun if each.broken])

        self.run_with_relay(work, lost, answer)
