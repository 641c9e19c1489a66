# SPDX-License-Identifier: Apache-2.0
"""Clients that ask whether to send the body of a request."""

from aiohttp import HttpVersion11, hdrs, web

CONTINUE_EXPECTATION = "100-continue"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def request_body(request: web.BaseRequest) -> None:
    """Let a client that waits for it send the body; call it once the request is not refused."""
    expects = request.headers.get(hdrs.EXPECT, "").lower() == CONTINUE_EXPECTATION
    is_arriving = request.content.total_bytes or request.content.is_eof()
    if expects and not is_arriving and request.version >= HttpVersion11 and request.transport:
        request.transport.write(CONTINUE)


__all__ = ["request_body"]
