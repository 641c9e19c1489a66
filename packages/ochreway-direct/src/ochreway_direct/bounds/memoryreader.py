# SPDX-License-Identifier: Apache-2.0
"""Resident memory of this process."""

import os
from pathlib import Path

STATM = Path("/proc/self/statm")


class MemoryReader:
    """Read the resident size of this process."""

    def __init__(self, path: Path = STATM) -> None:
        self._path = path
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")

    def resident_bytes(self) -> int:
        """Return the resident size in bytes.

        Raises:
            OSError: if the file cannot be read.
            ValueError: if its content cannot be parsed.
        """
        fields = self._path.read_text(encoding="ascii").split()
        if len(fields) < 2:
            raise ValueError(f"{self._path}: {len(fields)} fields")
        return int(fields[1]) * self._page_bytes


__all__ = ["MemoryReader"]
