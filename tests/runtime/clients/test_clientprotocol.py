# SPDX-License-Identifier: Apache-2.0
"""One ill-behaved connection over real sockets: what is answered, kept and discarded."""

import asyncio
import re

from ochreway_runtime.clients import clientprotocol
from tests.runtime.clients.servercase import GET, LAST, RunningServer, ServerCase

STATUS = re.compile(rb"HTTP/1\.[01] (\d{3})")


def statuses(answer: bytes) -> list[bytes]:
    return STATUS.findall(answer)


class RefusalTests(ServerCase):
    def check_refused(self, status: bytes, cause: str, *parts: bytes) -> None:
        async def work(running: RunningServer) -> None:
            answer = await running.send(*parts)
            self.assertEqual([status], statuses(answer))
            self.assertEqual([], running.paths)
            self.assertEqual(1, running.metrics.counters[f"client.{cause}"])
            self.assertEqual([b"200"], statuses(await running.send(LAST)))

        self.run_server(work)

    def test_a_head_without_end_is_refused(self) -> None:
        self.check_refused(
            b"431", "head_too_large", b"GET / HTTP/1.1\r\n", *[b"A: b\r\n" * 100] * 5
        )

    def test_empty_lines_without_end_are_refused(self) -> None:
        self.check_refused(b"431", "head_too_large", *[b"\r\n" * 400] * 4)

    def test_empty_lines_count_towards_the_time_for_a_head(self) -> None:
        self.check_refused(b"408", "head_late", b"\r\n\r\n")

    def test_a_head_over_the_limit_that_arrives_at_once_is_refused(self) -> None:
        lines = b"".join(b"X-%d: y\r\n" % number for number in range(300))
        self.check_refused(
            b"431", "head_too_large", b"GET / HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n"
        )

    def test_no_bytes_of_a_client_come_back(self) -> None:
        async def work(running: RunningServer) -> None:
            answer = await running.send(b"\x16\x03 secret of somebody\r\n\r\n")
            self.assertEqual([b"400"], statuses(answer))
            self.assertNotIn(b"secret", answer)
            self.assertNotIn("secret", str(running.log.events))

        self.run_server(work)

    def test_a_refusal_arrives_although_its_client_goes_on_sending(self) -> None:
        # A connection that is closed with unread bytes is reset, and the refusal may be lost.
        self.check_refused(b"400", "not_a_request", b"\0\0\0\0", *[b"x" * 40_000] * 10)

    def test_what_follows_a_refusal_is_not_run(self) -> None:
        self.check_refused(b"400", "not_a_request", b"\0\0\0\0", b"\r\n\r\n" + GET, GET)

    def test_a_request_before_garbage_is_answered(self) -> None:
        async def work(running: RunningServer) -> None:
            self.assertEqual([b"200", b"400"], statuses(await running.send(GET, b"\0\0\0\0")))

        self.run_server(work)

    def test_trailers_without_end_are_refused(self) -> None:
        head = (
            b"POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        )

        async def work(running: RunningServer) -> None:
            answer = await running.send(head, *[b"A: b\r\n" * 100] * 5)
            self.assertEqual([b"413"], statuses(answer))

        self.run_server(work)


class LastRequestTests(ServerCase):
    def check_only_one(self, head: bytes) -> None:
        async def work(running: RunningServer) -> None:
            answer = await running.send(head + b"x" * 9000, GET, b"y" * 9000)
            self.assertEqual(1, len(statuses(answer)), answer[:300])
            self.assertEqual(1, len(running.paths))

        self.run_server(work)

    def test_nothing_follows_an_upgrade_to_websockets(self) -> None:
        self.check_only_one(
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        )

    def test_nothing_follows_an_upgrade_to_another_protocol(self) -> None:
        self.check_only_one(
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        )

    def test_nothing_follows_a_connect(self) -> None:
        self.check_only_one(b"CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n")


class AheadTests(ServerCase):
    def test_requests_sent_ahead_are_all_answered_in_order(self) -> None:
        async def work(running: RunningServer) -> None:
            requests = b"".join(
                b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in range(199)
            )
            answer = await running.send(requests + LAST)
            self.assertEqual([b"200"] * 200, statuses(answer))
            self.assertEqual([f"/{number}" for number in range(199)], running.paths[:199])
            self.assertEqual({}, {k: n for k, n in running.metrics.counters.items() if n})

        self.run_server(work)

    def test_a_body_in_chunks_of_a_byte_is_read(self) -> None:
        head = b"POST /body HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"

        async def work(running: RunningServer) -> None:
            answer = await running.send(head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
            self.assertTrue(answer.endswith(b"\r\n\r\n50000"), answer[-100:])

        self.run_server(work)

    def test_a_client_that_takes_no_answer_is_ended(self) -> None:
        self.patch(clientprotocol, "UNTAKEN_TIMEOUT_S", 0.3)

        async def work(running: RunningServer) -> None:
            reader, writer = await running.connect()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            path = b"/" + b"p" * 1900
            writer.write((b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path) * 20_000)
            while not running.metrics.counters.get("client.answer_untaken"):
                running.account.check(asyncio.get_running_loop().time())
                await asyncio.sleep(0.05)
            self.assertLess(len(running.paths), 20_000)
            writer.transport.abort()

        self.run_server(work)


class ShortMemoryTests(ServerCase):
    limit_bytes = 100_000

    def test_an_answer_under_way_arrives_although_what_waits_is_dropped(self) -> None:
        slow = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
        waiting = b"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000)

        async def work(running: RunningServer) -> None:
            sending = asyncio.ensure_future(running.send(slow, waiting, waiting))
            async with asyncio.timeout(10.0):
                while not running.metrics.counters.get("client.memory"):
                    await asyncio.sleep(0.01)
            running.may_answer.set()
            self.assertEqual([b"200", b"503"], statuses(await sending))
            self.assertEqual(["/slow"], running.paths)

        self.run_server(work)


class UnreadContentTests(ServerCase):
    def test_what_the_handler_has_not_read_of_a_body_is_counted(self) -> None:
        # Guards against a sum that leaves out what waits for busy handlers.
        head = b"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"

        async def work(running: RunningServer) -> None:
            _, writer = await running.connect()
            writer.write(head + bytes(50_000))
            async with asyncio.timeout(10.0):
                while running.account.total_bytes < 50_000:
                    await asyncio.sleep(0.01)
            writer.transport.abort()

        self.run_server(work)


class CrowdedServerTests(ServerCase):
    max_open = 4

    def test_a_silent_connection_gives_way_to_a_new_one(self) -> None:
        async def work(running: RunningServer) -> None:
            silent = [await running.connect() for _ in range(8)]
            self.assertEqual([b"200"], statuses(await running.send(LAST)))
            self.assertGreaterEqual(running.metrics.counters["client.connections"], 4)
            for _, writer in silent:
                writer.transport.abort()

        self.run_server(work)
