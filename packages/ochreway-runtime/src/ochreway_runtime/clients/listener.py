# SPDX-License-Identifier: Apache-2.0
"""An address at which clients are accepted."""

from dataclasses import dataclass

MAX_PROBE_CONNECTIONS = 64
"""Open connections of an address that few clients use: a balancer's probes, a metrics collector."""


@dataclass(frozen=True, slots=True)
class Listener:
    """Name an address, and bound the number of its open connections; ``None`` means unbounded."""

    name: str
    max_open: int | None = None


__all__ = ["MAX_PROBE_CONNECTIONS", "Listener"]
