# SPDX-License-Identifier: Apache-2.0
"""Return memory that this process has freed to the kernel."""

import gc
import importlib
from collections.abc import Callable
from typing import Any

TRIM_FUNCTION = "malloc_trim"
TRIM_INTERVAL_S = 0.5
"""Shortest time between two trims: one takes some 30 ms, in which nothing else runs."""
NEVER_S = -1.0e9


class Heap:
    """Free unreachable cycles, and give free pages back where the C library can.

    Ended connections leave cycles that the collector finds late, and large blocks leave holes
    between small ones: the process would look full to whoever limits it long after it has room.
    """

    def __init__(self) -> None:
        self._trim: Callable[[int], Any] | None = None
        self._is_loaded = False
        self._trimmed_s = NEVER_S

    def trim(self, now_s: float) -> bool:
        """Give memory back unless that was done just now; return whether it was."""
        if now_s - self._trimmed_s < TRIM_INTERVAL_S:
            return False
        self._trimmed_s = now_s
        gc.collect()
        self._load()
        if self._trim is not None:
            self._trim(0)
        return True

    def _load(self) -> None:
        """Find the function when it is first needed: most processes never come near a limit."""
        if not self._is_loaded:
            self._is_loaded = True
            library = importlib.import_module("ctypes").CDLL(None)
            self._trim = getattr(library, TRIM_FUNCTION, None)


__all__ = ["Heap"]
