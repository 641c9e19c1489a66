# SPDX-License-Identifier: Apache-2.0
"""Reading a body whole within the memory for bodies."""

from aiohttp import StreamReader, web

from ochreway_direct.buffering.holding import Holding


async def read_whole(
    content: StreamReader,
    length_bytes: int | None,
    holding: Holding,
    max_bytes: int | None = None,
) -> bytes:
    """Return a body, of the announced length if there is one, as counted in a holding.

    Raises:
        MemoryFull: if it does not fit, at once where its length is announced.
        HTTPRequestEntityTooLarge: if it is longer than ``max_bytes``.
    """
    if length_bytes and (max_bytes is None or length_bytes <= max_bytes):
        holding.require(length_bytes)
    body = bytearray()
    with holding.reading(content):
        try:
            async for piece in content.iter_any():
                size_bytes = len(body) + len(piece)
                if max_bytes is not None and size_bytes > max_bytes:
                    raise web.HTTPRequestEntityTooLarge(max_bytes, size_bytes)
                holding.resize(size_bytes)
                body += piece
        except BaseException:
            # The traceback of the error keeps this frame for a while.
            body.clear()
            raise
    return bytes(body)


__all__ = ["read_whole"]
