# SPDX-License-Identifier: Apache-2.0
"""Decision whether the bytes that a target or the platform sends are an answer."""

import aiohttp
from aiohttp.http import RawResponseMessage

MAX_HEAD_BYTES = 64 * 1024
"""Bytes that may arrive without completing a final head or adding to a body.

They are a head, the interim answers before it, a chunk's size or extension, or trailers.
"""
MAX_INTERIM_ANSWERS = 16
FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = frozenset({100, 102, 103})
"""Statuses before the final one; 101 is none, as no request asks for another protocol."""


class AnswerInvalid(aiohttp.ClientPayloadError):
    """The bytes that arrived are no answer, or one that does not end."""


class AnswerTooLong(AnswerInvalid):
    """A body, or one event of a stream, has no end within its limit."""


class AnswerCheck:
    """Check the answers of one connection as they arrive."""

    def __init__(self) -> None:
        self._idle_bytes = 0
        self._interim_answers = 0

    def on_head(self, message: RawResponseMessage, unread: int = 0) -> None:
        """Check the head of an answer; ``unread`` heads before it wait to be read.

        Raises:
            AnswerInvalid: if it is not that of an answer with one, known framing, or if nobody asks
                for more.
        """
        if unread > MAX_INTERIM_ANSWERS:
            raise AnswerInvalid("more answers than requests")
        if message.code in INTERIM_STATUSES:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise AnswerInvalid("too many interim answers")
            return
        self._interim_answers = 0
        if message.code not in FINAL_STATUSES:
            raise AnswerInvalid(f"status {message.code:03d} is not that of an answer")
        _check_framing(message)

    def on_bytes(self, size_bytes: int, is_progress: bool) -> None:
        """Count what arrived; ``is_progress`` if it completed a final head or added to a body.

        Raises:
            AnswerInvalid: if too much has arrived without progress.
        """
        self._idle_bytes = 0 if is_progress else self._idle_bytes + size_bytes
        if self._idle_bytes > MAX_HEAD_BYTES:
            raise AnswerInvalid(f"{self._idle_bytes} bytes without a head or a body")


def _check_framing(message: RawResponseMessage) -> None:
    lengths = message.headers.getall("Content-Length", [])
    codings = message.headers.getall("Transfer-Encoding", [])
    if len(lengths) > 1 or (lengths and codings):
        raise AnswerInvalid("more than one length")
    if codings and [each.strip().lower() for each in codings] != ["chunked"]:
        raise AnswerInvalid(f"transfer coding {', '.join(codings)!r} is not known")


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer; the connection is closed if it is too long.

    Raises:
        AnswerTooLong: if the body is longer than ``max_bytes``.
    """
    pieces: list[bytes] = []
    size_bytes = 0
    async for piece in response.content.iter_any():
        size_bytes += len(piece)
        if size_bytes > max_bytes:
            response.close()
            raise AnswerTooLong(f"body of more than {max_bytes} bytes")
        pieces.append(piece)
    return b"".join(pieces)


__all__ = [
    "FINAL_STATUSES",
    "MAX_HEAD_BYTES",
    "MAX_INTERIM_ANSWERS",
    "AnswerCheck",
    "AnswerInvalid",
    "AnswerTooLong",
    "read_body",
]
