# SPDX-License-Identifier: Apache-2.0
"""Log events for the loss and recovery of what this entry depends on."""

from collections.abc import Callable

from ochreway_core.ids import NodeId
from ochreway_direct.entries.peers import Peers
from ochreway_direct.serving import Serving
from ochreway_runtime.logs import EventLog


class Dependencies:
    """Log changes of key trust, of the lease holder, of live entries and of this entry's role."""

    def __init__(
        self, serving: Serving, peers: Peers, head: Callable[[], bool], log: EventLog
    ) -> None:
        self._serving = serving
        self._peers = peers
        self._head = head
        self._log = log
        self._keys_trusted: bool | None = None
        self._holder: NodeId | None = None
        self._was_head: bool | None = None
        self._live_entries: frozenset[NodeId] = frozenset()

    def check(self, now_s: float) -> None:
        """Log each difference between the current state and the last logged one."""
        self._check_keys(now_s)
        self._check_holder(now_s)
        self._check_entries(now_s)
        if self._head() is not self._was_head:
            self._was_head = self._head()
            self._log.event("speaks_for_others", head=self._was_head)

    def _check_keys(self, now_s: float) -> None:
        trusted = self._serving.freshness.keys_trusted(now_s)
        if trusted is not self._keys_trusted:
            self._keys_trusted = trusted
            age_s = round(self._serving.freshness.age_s(now_s), 3)
            version = self._serving.version
            self._log.event("keys_trusted", trusted=trusted, proof_age_s=age_s, version=version)

    def _check_holder(self, now_s: float) -> None:
        holder = self._peers.holder(now_s)
        node = holder.node if holder is not None else None
        if node != self._holder:
            self._log.event("holder", holder=node or "", before=self._holder or "")
            self._holder = node

    def _check_entries(self, now_s: float) -> None:
        """Log entries that fell silent or are received again, but not those never expected."""
        live_now = frozenset(record.peer.node for record in self._peers.alive(now_s))
        silent = self._live_entries & self._peers.expected_nodes() - live_now
        if silent:
            self._log.event("entries_silent", entries=",".join(sorted(silent)))
        if live_now - self._live_entries:
            self._log.event(
                "entries_heard", entries=",".join(sorted(live_now - self._live_entries))
            )
        self._live_entries = live_now


__all__ = ["Dependencies"]
