# SPDX-License-Identifier: Apache-2.0
"""The shapes that crowds of ill-behaved clients send."""

from ochreway_standins.crowd.ask import Ask
from ochreway_standins.crowd.shape import SHAPES, Shape, shape

PIECE = b"x" * 16_000
LINES = 150
"""Lines of one piece."""
AHEAD = 50
"""Requests of one piece where many are sent ahead."""
LARGE_HEAD_BYTES = 6_000
BODY_AHEAD = b"b" * 60_000
BODY_WITHIN = 900_000
OVER_ANY_LIMIT = 99_000_000_000
TLS_HELLO = bytes.fromhex("16030100f8010000f40303") + b"\x8a" * 240
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@shape("request_line")
def _request_line(ask: Ask) -> Shape:
    return Shape(f"{ask.method} {ask.path}?".encode(), PIECE)


@shape("method")
def _method(_: Ask) -> Shape:
    return Shape(b"", b"G" * 16_000)


@shape("header_line")
def _header_line(ask: Ask) -> Shape:
    return Shape(ask.head(b"X-Long: ", ends=False), PIECE)


@shape("header_lines")
def _header_lines(ask: Ask) -> Shape:
    return Shape(ask.head(ends=False), (b"X-More: " + b"y" * 100 + b"\r\n") * LINES)


@shape("folded_lines")
def _folded_lines(ask: Ask) -> Shape:
    return Shape(ask.head(b"X-Folded: a\r\n", ends=False), (b" " + b"z" * 100 + b"\r\n") * LINES)


@shape("header_name")
def _header_name(ask: Ask) -> Shape:
    return Shape(ask.head(ends=False), b"N" * 16_000)


@shape("trailers")
def _trailers(ask: Ask) -> Shape:
    line = b"X-Trailer: " + b"t" * 100 + b"\r\n"
    return Shape(ask.head(CHUNKED) + b"1\r\nx\r\n0\r\n", line * LINES)


@shape("upgrade_websocket")
def _upgrade_websocket(ask: Ask) -> Shape:
    return Shape(ask.whole(more=b"Connection: Upgrade\r\nUpgrade: websocket\r\n"), PIECE)


@shape("upgrade_other")
def _upgrade_other(ask: Ask) -> Shape:
    return Shape(ask.whole(more=b"Connection: Upgrade\r\nUpgrade: h2c\r\n"), PIECE)


@shape("connect")
def _connect(ask: Ask) -> Shape:
    return Shape(ask.changed(method="CONNECT", path="care.example:443").head(), PIECE)


@shape("after_close")
def _after_close(ask: Ask) -> Shape:
    return Shape(ask.whole(more=b"Connection: close\r\n"), PIECE)


@shape("tls_hello")
def _tls_hello(_: Ask) -> Shape:
    return Shape(TLS_HELLO, TLS_HELLO * 64)


@shape("zeros")
def _zeros(_: Ask) -> Shape:
    return Shape(b"", bytes(16_000))


@shape("empty_lines")
def _empty_lines(_: Ask) -> Shape:
    return Shape(b"", b"\r\n" * 8_000)


@shape("silent")
def _silent(_: Ask) -> Shape:
    return Shape()


@shape("bodies_ahead")
def _bodies_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.whole(BODY_AHEAD), reads=False)


@shape("large_heads_ahead")
def _large_heads_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.whole(more=b"X-Long: %s\r\n" % (b"h" * LARGE_HEAD_BYTES)), reads=False)


@shape("requests_ahead")
def _requests_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.whole() * AHEAD, reads=False)


@shape("unknown_host_ahead")
def _unknown_host_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.changed(host="nowhere.example").whole() * AHEAD, reads=False)


@shape("unknown_path_ahead")
def _unknown_path_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.changed(path="/nowhere/x").whole() * AHEAD, reads=False)


@shape("bad_key_ahead")
def _bad_key_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.with_header("Authorization", "Bearer no").whole() * AHEAD, reads=False)


@shape("chunked_ahead")
def _chunked_ahead(ask: Ask) -> Shape:
    return Shape(b"", (ask.head(CHUNKED) + b"1\r\nx\r\n0\r\n\r\n") * AHEAD, reads=False)


@shape("expect_ahead")
def _expect_ahead(ask: Ask) -> Shape:
    return Shape(b"", ask.whole(b"x", b"Expect: 100-continue\r\n") * AHEAD, reads=False)


@shape("chunk_size")
def _chunk_size(ask: Ask) -> Shape:
    return Shape(ask.head(CHUNKED), b"0" * 16_000)


@shape("chunk_extension")
def _chunk_extension(ask: Ask) -> Shape:
    return Shape(ask.head(CHUNKED) + b"1;", PIECE)


@shape("chunked_body")
def _chunked_body(ask: Ask) -> Shape:
    return Shape(ask.head(CHUNKED), b"3e80\r\n" + PIECE + b"\r\n")


@shape("endless_length")
def _endless_length(ask: Ask) -> Shape:
    return Shape(ask.head(b"Content-Length: %d\r\n" % OVER_ANY_LIMIT), PIECE)


@shape("unfinished_body")
def _unfinished_body(ask: Ask) -> Shape:
    return Shape(ask.head(b"Content-Length: %d\r\n" % (BODY_WITHIN + 1)) + b"b" * BODY_WITHIN)


@shape("frame")
def _frame(ask: Ask) -> Shape:
    """Send a websocket frame of 8 MB less a byte, which a link takes once its peer is known."""
    key = b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n"
    opening = ask.head(b"Connection: Upgrade\r\nUpgrade: websocket\r\n" + key)
    return Shape(opening + b"\x82\xff" + (8 * 1024 * 1024 - 1).to_bytes(8, "big") + bytes(4), PIECE)


__all__ = ["SHAPES"]
