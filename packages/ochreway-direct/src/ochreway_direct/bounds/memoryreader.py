# SPDX-License-Identifier: Apache-2.0
"""How much memory this process takes."""

import os
from pathlib import Path

STATM = Path("/proc/self/statm")


class MemoryReader:
    """Read the resident size of this process."""

    def __init__(self, path: Path = STATM) -> None:
        self._path = path
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")

    def resident_bytes(self) -> int:
        """Return how much of the process is in memory.

        Raises:
            OSError: when the kernel does not tell.
            ValueError: when what it tells cannot be read.
        """
        fields = self._path.read_text(encoding="ascii").split()
        if len(fields) < 2:
            raise ValueError(f"{self._path}: {len(fields)} fields")
        return int(fields[1]) * self._page_bytes


__all__ = ["MemoryReader"]
