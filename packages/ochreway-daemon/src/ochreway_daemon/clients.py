# SPDX-License-Identifier: Apache-2.0
"""What the clients of a daemon may hold of its memory and descriptors."""

import resource

from ochreway_daemon.settings import CommonSettings
from ochreway_direct.bounds.memoryreader import MemoryReader
from ochreway_direct.bounds.resourcebounds import CALLERS_SHARE, HELD_SHARE, RESERVED_DESCRIPTORS
from ochreway_direct.bounds.resourcewatch import TRIM_SHARE
from ochreway_direct.buffering.buffers import Buffers
from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.settings import BYTES_PER_MB
from ochreway_runtime.clients.clientaccount import LIMIT_SHARE, ClientAccount
from ochreway_runtime.clients.listener import Listener
from ochreway_runtime.clients.squeeze import squeeze_of
from ochreway_runtime.heap import Heap
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

DEFAULT_BODY_BYTES = 256 * 1000 * 1000
"""Sum of bodies of requests under way, where the memory of the process is not bounded."""
MIN_FREE_SHARE = 0.1
MIN_CONNECTIONS = 16
MEMORY_CHECK_INTERVAL_S = 0.25


class DaemonClients:
    """Hold the account of all connections of clients, and of the bodies that they send."""

    def __init__(self, settings: CommonSettings, log: EventLog, metrics: Metrics) -> None:
        self._memory_bytes = settings.memory_mb * BYTES_PER_MB
        self._log = log
        self._memory: MemoryReader | None = MemoryReader() if self._memory_bytes else None
        self._heap = Heap()
        free_bytes = self._free_bytes()
        body_bytes = int(HELD_SHARE * free_bytes) or DEFAULT_BODY_BYTES
        self.bodies = Buffers(HeldLimits(body_bytes), log, metrics)
        self.account = ClientAccount(log, metrics, int(LIMIT_SHARE * free_bytes) or None)
        self.listener = Listener("http", _max_connections(settings.descriptors))

    def _free_bytes(self) -> float:
        """Return what the process has beside its code, at least a tenth; 0 if unbounded."""
        if self._memory is None:
            return 0.0
        try:
            resident_bytes = self._memory.resident_bytes()
        except (OSError, ValueError) as error:
            self._log.fault("memory_unknown", cause=error)
            resident_bytes = 0
        return max(MIN_FREE_SHARE * self._memory_bytes, self._memory_bytes - resident_bytes)

    def check_memory(self, now_s: float) -> None:
        """Lower what clients may hold, and give freed memory back, while little is left."""
        if self._memory is None:
            return
        try:
            share = self._memory.resident_bytes() / self._memory_bytes
        except (OSError, ValueError) as error:
            self._memory = None
            self._log.fault("memory_unknown", cause=error)
            return
        if share >= TRIM_SHARE:
            self._heap.trim(now_s)
        self.account.squeeze(squeeze_of(share))
        self.bodies.squeeze(squeeze_of(share))


def _max_connections(descriptors: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = (descriptors or soft_limit) - RESERVED_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(CALLERS_SHARE * available))


__all__ = ["MEMORY_CHECK_INTERVAL_S", "DaemonClients"]
