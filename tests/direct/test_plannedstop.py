# SPDX-License-Identifier: Apache-2.0
"""A planned stop while callers have not read all of their answers."""

import asyncio
import itertools
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import testtools

from ochreway_direct.delivery import plannedstop
from ochreway_direct.delivery.plannedstop import PlannedStop
from ochreway_direct.relay.callerprotocol import CallerProtocol
from tests.direct.relaycase import Headers, RelayCase, RunningRelay, complete_response

REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: care.example\r\nRequest: r1\r\nKey: secret\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


async def fine(headers: Headers, writer: asyncio.StreamWriter) -> None:
    writer.write(complete_response(headers, "fine"))


class PlannedStopTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.patch(plannedstop, "LINGER_S", 0.1)
        self.patch(plannedstop, "STOP_POLL_S", 0.01)

    def stop(
        self, grace_s: float, unsent_bytes: Iterator[int], requested_before_s: float = 0.0
    ) -> float:
        """Return how long a stop takes without any open call, in seconds."""

        class Deliveries:
            def unsent_bytes(self) -> int:
                return next(unsent_bytes)

        async def run() -> float:
            entry: Any = SimpleNamespace(
                serving=SimpleNamespace(stopping=False, closed=False),
                settings=SimpleNamespace(grace_s=grace_s),
            )
            relay: Any = SimpleNamespace(open_calls=0, deliveries=Deliveries())
            begun_s = asyncio.get_running_loop().time()
            await PlannedStop(entry, relay, begun_s - requested_before_s).drain()
            return asyncio.get_running_loop().time() - begun_s

        return asyncio.run(run())

    def test_a_stop_waits_until_callers_have_their_answers(self) -> None:
        sizes = iter([500] * 50 + [0] * 500)
        self.assertGreater(self.stop(5.0, sizes), 0.4)

    def test_a_stop_ends_with_its_grace_all_the_same(self) -> None:
        self.assertLess(self.stop(0.5, itertools.repeat(1)), 0.8)

    def test_a_stop_ends_with_the_last_call(self) -> None:
        self.assertLess(self.stop(5.0, itertools.repeat(0)), 0.4)

    # Guards against stops that begin late, as the process was starting, and outlast their grace.
    def test_the_grace_period_begins_with_the_signal(self) -> None:
        self.assertLess(self.stop(5.0, itertools.repeat(1), requested_before_s=4.0), 0.4)


class CloseTests(RelayCase):
    # Guards against requests that a closing entry reads and leaves without an answer.
    def test_a_close_waits_for_a_request_that_arrives(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.serving.stopping = True
            reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
            idle_reader, _ = await asyncio.open_connection("127.0.0.1", running.port)
            writer.write(REQUEST[:-4])
            while not any(each._request_in_progress for each in self.connections(running)):
                await asyncio.sleep(0.01)
            entry: Any = SimpleNamespace(serving=running.serving)
            closing = asyncio.create_task(
                PlannedStop(entry, running.relay)._close_idle(running.runner)
            )
            self.assertEqual(b"", await idle_reader.read())
            writer.write(REQUEST[-4:])
            answer = await reader.read()
            self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
            await closing

        self.run_with_relay(work, fine)

    def connections(self, running: RunningRelay) -> list[CallerProtocol]:
        assert running.runner.server is not None
        return [c for c in running.runner.server.connections if isinstance(c, CallerProtocol)]


class LateRequestTests(RelayCase):
    # Guards against requests that a busy core lets in late, and that the end of the grace cuts.
    def test_a_stop_takes_no_request_late_also_while_its_poll_is_late(self) -> None:
        async def work(running: RunningRelay) -> None:
            entry: Any = SimpleNamespace(
                serving=running.serving, settings=SimpleNamespace(grace_s=20.0)
            )
            begun_s = asyncio.get_running_loop().time()
            stop = PlannedStop(entry, running.relay, begun_s - plannedstop.LINGER_S + 0.2)
            draining = asyncio.create_task(stop.drain())
            self.assertEqual(200, (await running.send_request()).status)
            await asyncio.sleep(0.3)
            self.assertEqual(503, (await running.send_request()).status)
            draining.cancel()

        self.patch(plannedstop, "STOP_POLL_S", 5.0)
        self.run_with_relay(work, fine)
