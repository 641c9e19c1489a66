# SPDX-License-Identifier: Apache-2.0
"""Answers to clients whose bytes are no request within the limits; none repeats what they sent."""

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.web_protocol import _ErrInfo

from ochreway_runtime.clients.clientfault import ClientFault

MALFORMED_STATUS = 400
LATE_STATUS = 408
TOO_LARGE_STATUS = 431
UNAVAILABLE_STATUS = 503
TEXTS = {
    MALFORMED_STATUS: "not a request\n",
    LATE_STATUS: "the head of the request took too long\n",
    TOO_LARGE_STATUS: "the head of the request is too large\n",
    UNAVAILABLE_STATUS: "too much waits at this server; the request has not run\n",
}
TOO_MANY_LINES = "Too many headers received"
"""What the parser says when a head has more lines than fit into the limit on heads."""

LATE_HEAD = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

RefusedHead = _ErrInfo
"""Takes the place of a request whose head was refused."""


def refused_head(status: int) -> RefusedHead:
    """Return what takes the place of requests that are refused with a status."""
    return RefusedHead(status, BadHttpMessage(TEXTS[status]), TEXTS[status])


def without_content(refused: RefusedHead) -> RefusedHead:
    """Return a refusal by the parser without the bytes that it found faulty."""
    # The traceback keeps the frame that holds the received bytes.
    refused.exc.__traceback__ = None
    is_too_large = isinstance(refused.exc, LineTooLong) or TOO_MANY_LINES in refused.message
    return refused_head(TOO_LARGE_STATUS if is_too_large else MALFORMED_STATUS)


def fault_of(refused: RefusedHead) -> ClientFault:
    """Return what the client did."""
    if refused.status == TOO_LARGE_STATUS:
        return ClientFault.HEAD_TOO_LARGE
    return ClientFault.NOT_A_REQUEST


def answer(status: int) -> web.Response:
    """Return the answer to a refused head; the connection is closed after it."""
    response = web.Response(status=status, text=TEXTS[status])
    response.force_close()
    return response


__all__ = [
    "LATE_HEAD",
    "MALFORMED_STATUS",
    "TEXTS",
    "TOO_LARGE_STATUS",
    "UNAVAILABLE_STATUS",
    "RefusedHead",
    "answer",
    "fault_of",
    "refused_head",
    "without_content",
]
