# SPDX-License-Identifier: Apache-2.0
"""A request that leaves a silent target is served elsewhere, or goes on where it was."""

import asyncio
import socket
from collections import Counter

from ochreway_core.ids import GroupId
from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import (
    LAST_CHUNK,
    Headers,
    RelayCase,
    RunningRelay,
    Script,
    complete_response,
    event_chunk,
    stream_response_head,
)
from tests.direct.test_silenttargets import TUNING, Writer, ends, silent_after

NOT_RUN = "503 Service Unavailable"


def turns_away(times: int) -> Script:
    """Return a script that turns requests away as not run so many times, and then serves."""
    left = times

    async def script(headers: Headers, writer: Writer) -> None:
        nonlocal left
        if left:
            left -= 1
            writer.write(complete_response(headers, "full", NOT_RUN, "Not-Run: 1\r\n"))
            return
        await ends(headers, writer)

    return script


class FailoverTurnedAwayTests(RelayCase):
    """Guard against answers that break off as the next target turns the request away."""

    kind = RouteKind.STREAM
    resumable = True
    tuning = TUNING
    budget = (0.0, 10.0)

    def assert_whole(self, body: bytes) -> None:
        expected = b"".join(f"id: {n}\ndata: e{n}\n\n".encode() for n in range(1, 4))
        self.assertEqual(expected, body)

    def test_a_silent_target_that_goes_on_is_not_given_up_for_a_full_one(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.budget.balance = 5.0
            answer = await running.send_request()
            self.assertFalse(answer.broken)
            self.assert_whole(answer.body)

        self.run_with_relay(work, silent_after(1, 1.5), turns_away(99))

    def test_a_place_at_a_target_that_was_full_for_a_moment_is_used(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.budget.balance = 5.0
            answer = await running.send_request()
            self.assertFalse(answer.broken)
            self.assert_whole(answer.body)

        self.run_with_relay(work, silent_after(1, 10.0), turns_away(1))

    def test_the_only_retry_left_is_not_lost_on_a_full_target(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.budget.balance = 1.0
            answer = await running.send_request()
            self.assertFalse(answer.broken)
            self.assert_whole(answer.body)

        self.run_with_relay(work, silent_after(1, 1.5), turns_away(99), turns_away(99))


class QueuedFailoverTurnedAwayTests(FailoverTurnedAwayTests):
    queued = True


class BusyListenerTests(RelayCase):
    """Guard against answers that break off as a lost target is slow to accept connections."""

    kind = RouteKind.STREAM
    resumable = True
    tuning = TUNING
    budget = (0.0, 10.0)

    def test_a_lost_target_whose_backlog_is_full_is_not_taken_for_gone(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.budget.balance = 0.0
            pending = asyncio.ensure_future(running.send_request())
            while not running.targets[0].seen:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            host, _, port = running.targets[0].address.rpartition(":")
            server = running.targets[0].server
            assert server is not None
            listening = server.sockets[0].dup()
            listening.listen(1)
            asyncio.get_running_loop().remove_reader(server.sockets[0].fileno())
            waiting = [socket.socket() for _ in range(3)]
            for each in waiting:
                each.setblocking(False)
                each.connect_ex((host, int(port)))
            running.fleet.abandon(GroupId("g0"))
            answer = await pending
            for each in waiting:
                each.close()
            self.assertFalse(answer.broken)

        self.run_with_relay(work, silent_after(1, 1.5), ends)


def answers_after(wait_s: float) -> Script:
    """Return a script that begins to answer late."""

    async def script(headers: Headers, writer: Writer) -> None:
        await asyncio.sleep(wait_s)
        await ends(headers, writer)

    return script


def paused_by(*pauses_s: float) -> Script:
    """Return a script that pauses before each event of its stream."""

    async def script(headers: Headers, writer: Writer) -> None:
        begin = int(headers.get("after", "0")) + 1
        writer.write(stream_response_head(headers))
        for number, pause_s in enumerate(pauses_s, start=begin):
            await asyncio.sleep(pause_s)
            writer.write(event_chunk(number))
            await writer.drain()
        writer.write(LAST_CHUNK)

    return script


class FailoverOrderTests(RelayCase):
    """Guard against answers that have a part twice, as two targets write them at one time."""

    kind = RouteKind.STREAM
    resumable = True
    tuning = TUNING
    budget = (0.0, 10.0)

    def assert_whole(self, body: bytes) -> None:
        expected = b"".join(f"id: {n}\ndata: e{n}\n\n".encode() for n in range(1, 4))
        self.assertEqual(expected, body)

    def sent_with_loss(self, loss_s: float, *scripts: Script) -> list[int]:
        """Have the first target lost during a request; return how many requests each target got."""
        seen: list[int] = []

        async def work(running: RunningRelay) -> None:
            running.budget.balance = 5.0
            pending = asyncio.ensure_future(running.send_request())
            while not running.targets[0].seen:
                await asyncio.sleep(0.01)
            await asyncio.sleep(loss_s)
            running.fleet.abandon(GroupId("g0"))
            answer = await pending
            self.assertFalse(answer.broken)
            self.assert_whole(answer.body)
            seen.extend(len(target.seen) for target in running.targets)
            self.assertEqual(Counter(), running.fleet.under_way())

        self.run_with_relay(work, *scripts)
        return seen

    def test_a_lost_target_that_writes_on_is_followed_without_a_part_twice(self) -> None:
        first = paused_by(0.0, 0.3, 0.3)
        self.assertEqual([1, 1], self.sent_with_loss(0.1, first, answers_after(0.4)))

    def test_a_lost_target_goes_on_if_its_next_one_turns_the_call_away(self) -> None:
        first = paused_by(0.0, 0.3, 0.3)
        self.assertEqual([1, 1], self.sent_with_loss(0.1, first, turns_away(9)))

    def test_a_lost_target_goes_on_if_its_next_one_does_not_begin(self) -> None:
        first = paused_by(0.0, 0.2, 0.2)
        self.assertEqual([1, 1], self.sent_with_loss(0.1, first, answers_after(9.0)))

    # Guards against more runs than a route allows: a takeover that was given up may have run.
    def test_a_target_that_goes_on_keeps_its_call_and_no_third_one_runs_it(self) -> None:
        async def work(running: RunningRelay) -> None:
            running.budget.balance = 5.0
            answer = await running.send_request()
            self.assertFalse(answer.broken)
            self.assert_whole(answer.body)
            self.assertEqual([1, 1, 0], [len(target.seen) for target in running.targets])
            self.assertEqual(Counter(), running.fleet.under_way())

        self.run_with_relay(work, paused_by(0.0, 1.2, 1.2), answers_after(9.0), ends)


class QueuedFailoverOrderTests(FailoverOrderTests):
    queued = True
