# SPDX-License-Identifier: Apache-2.0
"""Buffers that the kernel has for connections of clients.

This module imports little more than ``socket``, as it runs before other code is loaded.
"""

import fcntl
import socket
import struct
import termios

BUFFER_BYTES = 32 * 1024
"""Asked of the kernel, which doubles it; without a bound it grows to tens of MB a connection."""

_COUNT = struct.Struct("i")


def listening_socket(
    host: str, port: int, backlog: int, buffer_bytes: int = BUFFER_BYTES
) -> socket.socket:
    """Return a socket that listens at an address, with bounded buffers for its connections.

    Raises:
        OSError: if the address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit both.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        listener.bind((host, port))
        listener.listen(backlog)
    except BaseException:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def bound_reads(transport: object) -> None:
    """Bound what a transport of asyncio's own reads at once; other transports stay as they are."""
    if hasattr(transport, "max_size"):
        transport.max_size = 2 * BUFFER_BYTES


def unsent_bytes(connection: socket.socket | None) -> int:
    """Return how much was written that the peer has not acknowledged; 0 if unknown."""
    return _queued_bytes(connection, termios.TIOCOUTQ)


def unread_bytes(connection: socket.socket | None) -> int:
    """Return how much has arrived that was not read; 0 if unknown."""
    return _queued_bytes(connection, termios.FIONREAD)


def _queued_bytes(connection: socket.socket | None, request: int) -> int:
    if connection is None:
        return 0
    try:
        packed = fcntl.ioctl(connection.fileno(), request, bytes(_COUNT.size))
    except (OSError, ValueError):
        return 0
    return int(_COUNT.unpack(packed)[0])


__all__ = ["BUFFER_BYTES", "bound_reads", "listening_socket", "unread_bytes", "unsent_bytes"]
