# SPDX-License-Identifier: Apache-2.0
"""What a process holds: its own memory, what the kernel holds for it, and open descriptors."""

import os
from dataclasses import dataclass
from pathlib import Path

from ochreway_standins.procstat import memory_mb

SOCKETS = Path("/proc/net/tcp")
LISTENING = "0A"
BYTES_PER_MB = 1e6


@dataclass(frozen=True, slots=True)
class Footprint:
    """Hold one sample, or the largest of each figure over several."""

    own_mb: float = 0.0
    kernel_mb: float = 0.0
    descriptors: int = 0
    total_mb: float = 0.0

    def peak(self, other: "Footprint") -> "Footprint":
        """Return the larger of each figure."""
        return Footprint(
            max(self.own_mb, other.own_mb),
            max(self.kernel_mb, other.kernel_mb),
            max(self.descriptors, other.descriptors),
            max(self.total_mb, other.total_mb),
        )


def footprint(pid: int, ports: tuple[int, ...]) -> Footprint:
    """Return what a process that listens at some ports holds now."""
    own_mb = memory_mb(pid)
    kernel_mb = _queued_bytes(ports) / BYTES_PER_MB
    descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    return Footprint(own_mb, kernel_mb, descriptors, own_mb + kernel_mb)


def _queued_bytes(ports: tuple[int, ...]) -> int:
    """Return what has arrived and is not read, and what is written and not taken."""
    queued_bytes = 0
    for line in SOCKETS.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != LISTENING and int(fields[1].rpartition(":")[2], 16) in ports:
            written, arrived = fields[4].split(":")
            queued_bytes += int(written, 16) + int(arrived, 16)
    return queued_bytes


__all__ = ["Footprint", "footprint"]
