# SPDX-License-Identifier: Apache-2.0
"""Taking callers' connections while the process still loads its code.

Little but the standard library's ``socket`` is imported here, as this runs before all else.
"""

import os
import socket

from ochreway_runtime import steadyclock

VARIABLE = "OCHREWAY_CALLER_LISTEN"
BACKLOG = 1024
"""How many connections may wait to be accepted: more than come in a second to one entry."""

BEGAN_S = steadyclock.now_s()
"""When this process began to load its code, on the clock of its event loop."""

_open: dict[str, socket.socket] = {}


def listen_early() -> None:
    """Listen for callers at the address that the environment gives, if it does.

    Callers that connect while the code is loaded wait for it. Otherwise every entry would turn
    them away after all entries were killed at once. An address that cannot be bound is left to
    the usual listener, which logs the cause.
    """
    address = os.environ.get(VARIABLE, "")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        return
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind((host, int(port)))
        made.listen(BACKLOG)
    except (OSError, OverflowError):
        made.close()
        return
    made.setblocking(False)
    _open[address] = made


def take(address: str) -> socket.socket | None:
    """Return the socket that listens at an address, if there is one; it is the caller's then."""
    return _open.pop(address, None)


def close_others(address: str) -> None:
    """Close what listens at any other address than the one that is to be served."""
    for each in [known for known in _open if known != address]:
        _open.pop(each).close()


__all__ = ["BACKLOG", "BEGAN_S", "close_others", "listen_early", "take"]
