# SPDX-License-Identifier: Apache-2.0
"""Sending a body in pieces."""

from collections.abc import AsyncIterator

PIECE_BYTES = 64 * 1024
"""Size of a piece: the connection's buffer holds about two while its target reads slowly."""


async def pieces_of(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body in pieces; the next one is copied only once the connection takes it."""
    for begin in range(0, len(body), PIECE_BYTES):
        yield body[begin : begin + PIECE_BYTES]


__all__ = ["PIECE_BYTES", "pieces_of"]
