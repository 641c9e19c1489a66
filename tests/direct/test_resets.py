# SPDX-License-Identifier: Apache-2.0
import asyncio
from collections import Counter

from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import END, Headers, RelayCase, Running, event, stream_head, whole

Writer = asyncio.StreamWriter
CALLS = 8
BOUND_S = 10


async def good(headers: Headers, writer: Writer) -> None:
    writer.write(whole(headers, "fine"))


class Gate:
    """Have targets begin what they are sent, and answer once they are let."""

    def __init__(self) -> None:
        self.open = False

    async def answer(self, headers: Headers, writer: Writer) -> None:
        while not self.open:
            await asyncio.sleep(0.01)
        writer.write(whole(headers, "fine"))


def runs(running: Running) -> Counter[str]:
    """Return how often each request reached a target."""
    return Counter(seen["request"] for target in running.targets for seen in target.seen)


async def all_begun(running: Running, number: int) -> None:
    async with asyncio.timeout(BOUND_S):
        while sum(runs(running).values()) < number:
            await asyncio.sleep(0.01)


def reset_all(running: Running) -> None:
    for target in running.targets:
        target.reset()


class UnrepeatableResetTests(RelayCase):
    kind = RouteKind.UNSAFE

    def test_what_had_begun_runs_once_and_is_never_called_not_run(self) -> None:
        gate = Gate()

        async def work(running: Running) -> None:
            asking = [
                asyncio.ensure_future(running.ask(Request=f"r{number}")) for number in range(CALLS)
            ]
            await all_begun(running, CALLS)
            reset_all(running)
            answers = await asyncio.gather(*asking)
            self.assertEqual({502}, {answer.status for answer in answers})
            gate.open = True
            self.assertEqual(200, (await running.ask(Request="later")).status)
            self.assertEqual({1}, set(runs(running).values()))
            self.assertEqual(CALLS + 1, len(runs(running)))

        self.relayed(work, gate.answer, gate.answer)

    def test_what_was_not_sent_is_not_lost(self) -> None:
        async def work(running: Running) -> None:
            self.assertEqual(200, (await running.ask(Request="before")).status)
            lost = running.targets[0].server
            assert lost is not None
            lost.close()
            reset_all(running)
            for number in range(CALLS):
                self.assertEqual(200, (await running.ask(Request=f"r{number}")).status)
            self.assertEqual({1}, set(runs(running).values()))

        self.relayed(work, good, good)

    def test_no_method_is_sent_again_by_itself(self) -> None:
        async def breaks(headers: Headers, writer: Writer) -> None:
            writer.transport.abort()

        async def work(running: Running) -> None:
            for method in ("POST", "PUT", "GET", "DELETE"):
                answer = await running.ask(method=method, Request=method)
                self.assertEqual((method, 502), (method, answer.status))
            self.assertEqual({"POST": 1, "PUT": 1, "GET": 1, "DELETE": 1}, dict(runs(running)))

        self.relayed(work, breaks, breaks)

    def test_what_ran_is_not_called_not_run_when_its_target_has_ended(self) -> None:
        async def work(running: Running) -> None:
            target = running.targets[0]

            async def ends(headers: Headers, writer: Writer) -> None:
                assert target.server is not None
                target.server.close()
                writer.transport.abort()

            target.script = ends
            for method in ("PUT", "POST"):
                answer = await running.ask(method=method, Request=method)
                begun = runs(running)[method] > 0
                self.assertEqual(502 if begun else 503, answer.status)
            self.assertLessEqual(max(runs(running).values()), 1)

        self.relayed(work, good)


class RepeatableResetTests(RelayCase):
    def test_resting_connections_that_were_reset_cost_nobody_an_answer(self) -> None:
        async def work(running: Running) -> None:
            for round_ in range(3):
                names = [f"r{round_}-{number}" for number in range(CALLS)]
                answers = await asyncio.gather(*(running.ask(Request=name) for name in names))
                self.assertEqual({200}, {answer.status for answer in answers})
                reset_all(running)
            self.assertEqual(3 * CALLS, len(runs(running)))

        self.relayed(work, good, good)

    def test_what_had_begun_is_answered_by_another_run(self) -> None:
        gate = Gate()

        async def work(running: Running) -> None:
            asking = asyncio.ensure_future(running.ask())
            await all_begun(running, 1)
            gate.open = True
            reset_all(running)
            self.assertEqual(200, (await asking).status)
            self.assertEqual(2, runs(running)["r1"])

        self.relayed(work, gate.answer, gate.answer)


class StreamResetTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True

    def test_a_stream_goes_on_after_its_last_event(self) -> None:
        async def begins(headers: Headers, writer: Writer) -> None:
            begin = int(headers.get("after", "0")) + 1
            last = 2 if begin == 1 else 4
            pieces = b"".join(event(number) for number in range(begin, last + 1))
            writer.write(stream_head(headers) + pieces)
            await writer.drain()
            if begin > 1:
                writer.write(END)

        async def work(running: Running) -> None:
            asking = asyncio.ensure_future(running.ask())
            await all_begun(running, 1)
            await asyncio.sleep(0.1)
            reset_all(running)
            answer = await asking
            expected = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in (1, 2, 3, 4))
            self.assertEqual((False, expected), (answer.broken, answer.body))

        self.relayed(work, begins, begins)
