# SPDX-License-Identifier: Apache-2.0
"""Bounds on connections, memory and link bandwidth of this instance."""

from dataclasses import dataclass

from ochreway_direct.settings import BYTES_PER_MB, DirectSettings
from ochreway_runtime.clients.clientaccount import LIMIT_SHARE

RESERVED_DESCRIPTORS = 200
"""Descriptors reserved for files and for libraries."""
CALLERS_SHARE = 0.4
"""Share of sockets for callers; each may need one to a target too, and links need the rest."""
IDLE_SHARE = 0.1
"""Share of sockets for idle connections to targets, beside the busy ones and the links."""
MIN_CONNECTIONS = 16
"""Lower limit of each bound, so that an entry with few descriptors still serves some callers."""
HELD_SHARE = 0.25
"""Share of the memory for bodies, and for answers that callers have not read yet."""
BYTES_PER_MBPS = 125_000.0


@dataclass(frozen=True, slots=True)
class ResourceBounds:
    """Hold the resource bounds of one entry; ``None`` means unbounded."""

    callers: int | None = None
    idle: int | None = None
    memory_bytes: float | None = None
    held_bytes: int | None = None
    client_bytes: int | None = None
    link_bytes_per_s: float | None = None


def bounds_of(settings: DirectSettings) -> ResourceBounds:
    """Return the bounds that follow from the settings."""
    callers = idle = None
    if settings.descriptors:
        sockets = settings.descriptors - RESERVED_DESCRIPTORS
        callers = max(MIN_CONNECTIONS, int(CALLERS_SHARE * sockets))
        idle = max(MIN_CONNECTIONS, int(IDLE_SHARE * sockets))
    return ResourceBounds(
        callers=callers,
        idle=idle,
        memory_bytes=settings.memory_mb * BYTES_PER_MB or None,
        held_bytes=int(HELD_SHARE * settings.memory_mb * BYTES_PER_MB) or None,
        client_bytes=int(LIMIT_SHARE * settings.memory_mb * BYTES_PER_MB) or None,
        link_bytes_per_s=settings.link_mbps * BYTES_PER_MBPS or None,
    )


__all__ = ["ResourceBounds", "bounds_of"]
