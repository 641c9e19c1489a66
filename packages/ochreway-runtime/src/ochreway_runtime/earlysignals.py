# SPDX-License-Identifier: Apache-2.0
"""Signals that reach the process, also while its event loop does not handle them.

By default they would end a process that loads its code, with callers waiting in its backlog, or
one that still writes its last log lines. This module imports little, as it runs before the others.
"""

import signal
from types import FrameType

from ochreway_runtime import steadyclock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_received_s: dict[int, float] = {}
"""When each signal came first."""


def hold_signals() -> None:
    """Record the signals that arrive from now on, until the event loop handles them."""
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, record)


def record(number: int, _: FrameType | None = None) -> None:
    """Record when a signal arrived, if it is the first of its kind."""
    _received_s.setdefault(number, steadyclock.now_s())


def stop_requested_s() -> float | None:
    """Return when the process was first asked to stop, on its steady clock."""
    return min((_received_s[each] for each in STOP_SIGNALS if each in _received_s), default=None)


def is_hung_up() -> bool:
    """Return whether a recorded signal says that settings have changed."""
    return signal.SIGHUP in _received_s


__all__ = ["STOP_SIGNALS", "hold_signals", "is_hung_up", "record", "stop_requested_s"]
