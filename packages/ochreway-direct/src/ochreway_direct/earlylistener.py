# SPDX-License-Identifier: Apache-2.0
"""Taking callers' connections while the process still loads its code.

Little but the standard library's ``socket`` is imported here, as this runs before all else.
"""

import os
import socket

from ochreway_runtime import steadyclock

ADDRESS_VARIABLE = "OCHREWAY_CALLER_LISTEN"
BACKLOG = 1024
"""How many connections may wait to be accepted: more than come in a second to one entry."""

PROCESS_START_S = steadyclock.now_s()
"""When this process began to load its code, on the clock of its event loop."""

_open_sockets: dict[str, socket.socket] = {}


def listen_early() -> None:
    """Listen for callers at the address that the environment gives, if it does.

    Callers that connect while the code is loaded wait for it. Otherwise every entry would turn
    them away after all entries were killed at once. An address that cannot be bound is left to
    the usual listener, which logs the cause.
    """
    address = os.environ.get(ADDRESS_VARIABLE, "")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        return
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return
    listener.setblocking(False)
    _open_sockets[address] = listener


def claim_socket(address: str) -> socket.socket | None:
    """Return the socket that listens at an address, if there is one; it is the caller's then."""
    return _open_sockets.pop(address, None)


def close_other_sockets(address: str) -> None:
    """Close what listens at any other address than the one that is to be served."""
    for each in [known for known in _open_sockets if known != address]:
        _open_sockets.pop(each).close()


__all__ = ["BACKLOG", "PROCESS_START_S", "close_other_sockets", "listen_early", "claim_socket"]
