# SPDX-License-Identifier: Apache-2.0
"""Listener for callers that is opened before the process loads the rest of its code.

This module imports little more than ``socket``, as it runs before everything else.
"""

import os
import socket

from ochreway_runtime import steadyclock
from ochreway_runtime.clients.socketbuffers import listening_socket

ADDRESS_VARIABLE = "OCHREWAY_CALLER_LISTEN"
BACKLOG = 1024
"""Maximum number of connections waiting to be accepted: more than an entry gets in a second."""

PROCESS_START_S = steadyclock.now_s()
"""Time at which this process began to load its code, on the clock of its event loop."""

_open_sockets: dict[str, socket.socket] = {}


def listen_early() -> None:
    """Listen for callers at the address given by the environment, if any.

    Callers that connect while the code is loading wait in the backlog. Otherwise every entry would
    refuse them after all entries were killed at once. An address that cannot be bound is left to
    the regular listener, which logs the cause.
    """
    address = os.environ.get(ADDRESS_VARIABLE, "")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        return
    try:
        _open_sockets[address] = listening_socket(host, int(port), BACKLOG)
    except (OSError, OverflowError):
        return


def claim_socket(address: str) -> socket.socket | None:
    """Return the socket that listens at an address, if any, and hand over its ownership."""
    return _open_sockets.pop(address, None)


def close_other_sockets(address: str) -> None:
    """Close the early sockets at all addresses except the one to be served."""
    for each in [known for known in _open_sockets if known != address]:
        _open_sockets.pop(each).close()


__all__ = ["BACKLOG", "PROCESS_START_S", "close_other_sockets", "listen_early", "claim_socket"]
