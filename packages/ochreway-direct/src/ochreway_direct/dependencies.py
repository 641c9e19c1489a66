# SPDX-License-Identifier: Apache-2.0
"""Telling in the log what this entry depends on, when it loses it and has it back."""

from collections.abc import Callable

from ochreway_core.ids import NodeId
from ochreway_direct.entries.peers import Peers
from ochreway_direct.serving import Serving
from ochreway_runtime.logs import EventLog


class Dependencies:
    """Write a line when keys, the holder of the lease or this entry's part among others change."""

    def __init__(
        self, serving: Serving, peers: Peers, head: Callable[[], bool], log: EventLog
    ) -> None:
        self._serving = serving
        self._peers = peers
        self._head = head
        self._log = log
        self._trusted: bool | None = None
        self._holder: NodeId | None = None
        self._was_head: bool | None = None
        self._heard: frozenset[NodeId] = frozenset()

    def check(self, now_s: float) -> None:
        """Compare what is so now with what was told last."""
        self._check_keys(now_s)
        self._check_holder(now_s)
        self._check_entries(now_s)
        if self._head() is not self._was_head:
            self._was_head = self._head()
            self._log.event("speaks_for_others", head=self._was_head)

    def _check_keys(self, now_s: float) -> None:
        trusted = self._serving.freshness.keys_trusted(now_s)
        if trusted is not self._trusted:
            self._trusted = trusted
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
        """Tell of entries that fell silent or are heard again, not of those never in touch."""
        heard = frozenset(record.peer.node for record in self._peers.alive(now_s))
        silent = self._heard & self._peers.expected_nodes() - heard
        if silent:
            self._log.event("entries_silent", entries=",".join(sorted(silent)))
        if heard - self._heard:
            self._log.event("entries_heard", entries=",".join(sorted(heard - self._heard)))
        self._heard = heard


__all__ = ["Dependencies"]
