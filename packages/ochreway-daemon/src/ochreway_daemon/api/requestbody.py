# SPDX-License-Identifier: Apache-2.0
"""Reading the body of a request within the memory for bodies, and within the request's time."""

import asyncio

from aiohttp import web

from ochreway_direct.buffering.bodyreader import read_whole
from ochreway_direct.buffering.holding import Holding
from ochreway_runtime.clients.expectation import request_body

HOLDING = web.RequestKey("holding", Holding)
"""Counts the body of a request for as long as it is handled."""


async def expect_later(_: web.Request) -> None:
    """Leave it to the handler to ask for the body of a request that announces it."""


async def read_body(request: web.Request, max_bytes: int, time_s: float) -> bytes:
    """Return the body of a request.

    Raises:
        MemoryFull: if it does not fit beside the bodies of other requests.
        HTTPRequestEntityTooLarge: if it is longer than ``max_bytes``, at once if it says so.
        HTTPBadRequest: if its bytes are no body.
        TimeoutError: if it does not arrive in time.
    """
    length_bytes = request.content_length
    if length_bytes is not None and length_bytes > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes, length_bytes)
    request_body(request)
    try:
        async with asyncio.timeout(time_s):
            return await read_whole(request.content, length_bytes, request[HOLDING], max_bytes)
    except web.RequestPayloadError as error:
        raise web.HTTPBadRequest from error


__all__ = ["HOLDING", "expect_later", "read_body"]
