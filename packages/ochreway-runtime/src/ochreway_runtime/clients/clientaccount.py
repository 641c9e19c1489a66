# SPDX-License-Identifier: Apache-2.0
"""The sum of what the connections of all clients hold, and which are ended to bound it."""

from collections import defaultdict

from ochreway_runtime.clients.clientfault import ClientFault
from ochreway_runtime.clients.connection import Connection
from ochreway_runtime.clients.listener import Listener
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

CHECK_INTERVAL_S = 0.25
"""How often what the kernel holds is counted, and clients that take nothing are looked for."""
DEFAULT_LIMIT_BYTES = 64 * 1000 * 1000
"""Limit where the memory of the process is not bounded."""
LIMIT_SHARE = 0.1
"""Share of the memory of the process: heads, requests ahead, and what the kernel holds."""
LOW_SHARE = 0.9
"""Share of the limit down to which connections are ended, so that not each piece ends one."""
SHARE_DIGITS = 3
MIN_AGE_S = 1.0
"""Age from which an unused connection gives way: within it a first request usually arrives."""


class ClientAccount:
    """Count what connections hold for requests that are not read whole or not looked at yet.

    Bodies of requests under way and answers are counted where they are kept.
    """

    def __init__(self, log: EventLog, metrics: Metrics, limit_bytes: int | None = None) -> None:
        self.limit_bytes = limit_bytes or DEFAULT_LIMIT_BYTES
        self._full_limit_bytes = self.limit_bytes
        self.total_bytes = 0
        self._log = log
        self._metrics = metrics
        self._open: dict[Listener, dict[Connection, None]] = defaultdict(dict)
        self._unused: dict[Listener, dict[Connection, None]] = defaultdict(dict)
        self._holding: dict[Connection, None] = {}
        self._is_relieving = False

    def is_full(self, listener: Listener) -> bool:
        """Return whether a listener has more open connections than it may have."""
        return listener.max_open is not None and len(self._open[listener]) > listener.max_open

    def add(self, connection: Connection) -> None:
        """Count a connection from now on."""
        self._open[connection.listener][connection] = None
        self._unused[connection.listener][connection] = None

    def mark_used(self, connection: Connection) -> None:
        """Record that a connection has brought a request."""
        self._unused[connection.listener].pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """Stop counting a connection."""
        if connection not in self._open[connection.listener]:
            return
        del self._open[connection.listener][connection]
        self.mark_used(connection)
        self._holding.pop(connection, None)
        self.total_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def update(self, connection: Connection, held_bytes: int) -> None:
        """Record what a connection holds now; end others or itself if the sum is too large."""
        if connection not in self._open[connection.listener]:
            return
        self.total_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if held_bytes:
            self._holding[connection] = None
        else:
            self._holding.pop(connection, None)
        if self.total_bytes > self.limit_bytes:
            self._relieve()

    def squeeze(self, share: float) -> None:
        """Allow a share of the limit, as the process has little memory left."""
        self.limit_bytes = int(share * self._full_limit_bytes)
        if self.total_bytes > self.limit_bytes:
            self._relieve()

    def check(self, now_s: float) -> None:
        """Check every connection that holds something."""
        for each in list(self._holding):
            each.check(now_s)

    def make_place(self, listener: Listener, now_s: float, only_late: bool = False) -> bool:
        """End a connection of a listener that has no request; return whether there was one.

        Those that never brought a request go first, the oldest of them at the start. With
        ``only_late`` no others do, and only once their first request is late.
        """
        chosen = next(iter(self._unused[listener]), None)
        if only_late:
            if chosen is None or now_s - chosen.opened_s < MIN_AGE_S:
                return False
        elif chosen is None:
            chosen = next((e for e in self._open[listener] if not e.has_requests), None)
        if chosen is None:
            return False
        self._end(chosen, ClientFault.CONNECTIONS)
        return True

    def record(self, fault: ClientFault, connection: Connection) -> None:
        """Count and log what a client did."""
        self._metrics.count(f"client.{fault.value}")
        self._log.failure(
            "client_refused",
            cause=fault.value,
            listener=connection.listener.name,
            held_bytes=connection.held_bytes,
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges for the metrics page."""
        return {
            "client_connections": float(sum(len(each) for each in self._open.values())),
            "client_held_bytes": float(self.total_bytes),
            "client_held_bytes_share": round(self.total_bytes / self.limit_bytes, SHARE_DIGITS),
        }

    def _relieve(self) -> None:
        """End the connections that hold most, those without a whole request first.

        One with an answer that its client is about to get keeps that, unless this is not enough.
        """
        if self._is_relieving:
            return
        self._is_relieving = True
        low_bytes = int(LOW_SHARE * self.limit_bytes)
        for may_shed in (True, False):
            for each in sorted(self._holding, key=_by_need):
                if self.total_bytes > low_bytes and not (may_shed and each.shed()):
                    self._end(each, ClientFault.MEMORY)
        self._is_relieving = False

    def _end(self, connection: Connection, fault: ClientFault) -> None:
        self.record(fault, connection)
        self.remove(connection)
        connection.end()


def _by_need(connection: Connection) -> tuple[bool, int]:
    return connection.has_requests, -connection.held_bytes


__all__ = ["CHECK_INTERVAL_S", "LIMIT_SHARE", "ClientAccount"]
