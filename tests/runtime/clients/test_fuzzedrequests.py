# SPDX-License-Identifier: Apache-2.0
"""Any bytes, split anywhere: the server answers or closes, and frees what the connection held."""

import asyncio
import re

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.runtime.clients.servercase import GET, LAST, RunningServer, ServerCase

STATUSES = {b"200", b"400", b"408", b"413", b"431"}
HEAD = b"POST /body HTTP/1.1\r\nHost: h\r\n"
FRAGMENTS = (
    GET,
    HEAD + b"Content-Length: 3\r\n\r\nabc",
    HEAD + b"Content-Length: 9000\r\n\r\nabc",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffff\r\nabc",
    HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n",
    HEAD + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/9.9\r\nHost: h\r\n\r\n",
    b"\r\n" * 40,
    b"X: y\r\n" * 60,
    b" folded\r\n",
    b"0\r\n",
    b"z" * 3000,
    b"\x16\x03\x01\x00",
    b"\0",
)
BYTES = st.lists(st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=40)), max_size=6)
FINAL = re.compile(rb"HTTP/1\.[01] (?!100)(\d{3}) ")


class FuzzedRequestTests(ServerCase):
    @settings(max_examples=60, deadline=None)
    @given(BYTES, st.integers(1, 4000))
    def test_no_bytes_keep_a_connection_or_its_memory(
        self, fragments: list[bytes], piece_bytes: int
    ) -> None:
        content = b"".join(fragments)

        async def work(running: RunningServer) -> None:
            reader, writer = await running.connect()
            for begin in range(0, len(content), piece_bytes):
                writer.write(content[begin : begin + piece_bytes])
                await asyncio.sleep(0)
            writer.write_eof()
            try:
                answer = await reader.read()
            except ConnectionError:
                answer = b""
            writer.close()
            self.assertLessEqual(set(FINAL.findall(answer)), STATUSES, answer[:500])
            self.assertTrue((await running.send(LAST)).startswith(b"HTTP/1.1 200"))
            self.assertEqual([], [each for each in running.log.names if each != "client_refused"])

        self.run_server(work)
