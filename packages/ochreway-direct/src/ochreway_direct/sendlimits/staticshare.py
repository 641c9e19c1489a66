# SPDX-License-Identifier: Apache-2.0
"""Static share of an allowance, computed by each entry from the entries it knows."""

import math
from collections.abc import Collection, Iterable

from ochreway_core.ids import InstanceId, NodeId
from ochreway_core.rendezvous import rank
from ochreway_direct.entries.cells import MAX_MESH_ENTRIES

MIN_HEADROOM = 2
ENTRIES_PER_HEADROOM = 8
"""Headroom for unknown entries: one for each ``ENTRIES_PER_HEADROOM``, at least the minimum."""
ENTRY_RETENTION_S = 300.0
"""How long a silent entry counts; one that is cut off still serves its callers."""
SETTLE_S = 10.0
MESH_SETTLE_S = 3.0
"""How long an entry is connected before it relies on its number of known entries.

By then all names have been propagated: heartbeats name all entries within 32 of them, and those of
a mesh within three.
"""
REGISTERED_SETTLE_S = 0.9
"""How long an entry of a mesh is connected to all registered entries before it relies on them.

Within three heartbeats each of them names all entries.
"""
ALONE_TIMEOUT_S = 20.0
"""How long an isolated entry relies on the number of entries that it knew.

Meanwhile others may be added unnoticed; the headroom covers those.
"""
MAX_RANKS = 5000
"""Number of targets whose ranks are cached, including departed ones: some 0.5 MB."""


class StaticShare:
    """Divide the static part of an allowance among the known entries, without coordination.

    Entries may know different others. The sum of their shares stays within the part as long as no
    entry misses more running entries than there is headroom for.
    """

    def __init__(self, me: NodeId, seeds: int, started_s: float) -> None:
        """Start without known entries; there are at least as many as ``seeds``."""
        self._me = me
        self._seeds = seeds
        self._last_seen_s: dict[NodeId, float] = {}
        self._connected_since_s = started_s
        self._last_connected_s = started_s
        self._ever_connected = seeds <= 1
        self._ranks: dict[InstanceId, int] = {}
        self._registered: frozenset[NodeId] = frozenset()
        self._all_connected_since_s: float | None = None

    @property
    def has_register(self) -> bool:
        """Return whether the registered entries are known since this entry was last connected."""
        return bool(self._registered)

    def on_register(
        self, borrowers: Iterable[NodeId], names: Iterable[NodeId], now_s: float
    ) -> None:
        """Record the entries that the register names, as borrowers and as counted by its writer."""
        self._registered = frozenset(borrowers) - {self._me}
        self._all_connected_since_s = None
        for name in (*self._registered, *names):
            if name != self._me:
                self._last_seen_s[name] = now_s
        self._ranks.clear()

    def update_entries(
        self,
        names: Iterable[NodeId],
        any_alive: bool,
        now_s: float,
        alive: Collection[NodeId] = (),
    ) -> None:
        """Record the names of other entries, whether any is alive now, and which are."""
        if not self._registered or not self._registered <= set(alive):
            self._all_connected_since_s = None
        elif self._all_connected_since_s is None:
            self._all_connected_since_s = now_s
        before = set(self._last_seen_s)
        for name in names:
            self._last_seen_s[name] = now_s
        self._last_seen_s = {
            n: s for n, s in self._last_seen_s.items() if now_s - s < ENTRY_RETENTION_S
        }
        if self._last_seen_s.keys() != before or len(self._ranks) > MAX_RANKS:
            self._ranks.clear()
        if not any_alive:
            return
        was_alone = now_s - self._last_connected_s > ALONE_TIMEOUT_S
        if not self._ever_connected or was_alone:
            self._connected_since_s = now_s
        if was_alone:
            # Entries may have joined unnoticed since the register was read.
            self._registered = frozenset()
            self._all_connected_since_s = None
        self._ever_connected = True
        self._last_connected_s = now_s

    def is_settled(self, now_s: float) -> bool:
        """Return whether all entries are known, except for a few new ones."""
        alone = self._last_seen_s and now_s - self._last_connected_s > ALONE_TIMEOUT_S
        if alone or not self._ever_connected:
            return False
        meshed = self.entry_count <= MAX_MESH_ENTRIES
        settle_s = MESH_SETTLE_S if meshed else SETTLE_S
        return now_s - self._connected_since_s >= settle_s or (
            meshed and self._is_connected_to_registered(now_s)
        )

    def _is_connected_to_registered(self, now_s: float) -> bool:
        since_s = self._all_connected_since_s
        return since_s is not None and now_s - since_s >= REGISTERED_SETTLE_S

    @property
    def known_entries(self) -> frozenset[NodeId]:
        """Return the other entries that are counted."""
        return frozenset(self._last_seen_s)

    @property
    def entry_count(self) -> int:
        """Return the number of entries that are counted, including this one."""
        return max(1 + len(self._last_seen_s), self._seeds)

    def requests_for(self, amount: int, instance: InstanceId, now_s: float) -> int:
        """Return how many requests per second this entry may send to a target.

        Each entry gets the same number. The remainder goes, one each, to the entries that rank
        first for the target. As many entries as there is headroom for may wrongly consider
        themselves to be among these, so the remainder is reduced by the headroom.
        """
        headroom = max(MIN_HEADROOM, self.entry_count // ENTRIES_PER_HEADROOM)
        base, remainder = divmod(amount, self.entry_count + headroom)
        if base and not self.is_settled(now_s):
            return 1
        extra_ranks = remainder - (headroom if base else min(headroom, amount // 2))
        return base + (self._rank(instance) < extra_ranks)

    def equal_requests_for(self, amount: int, instance: InstanceId, now_s: float) -> int:
        """Return an equal share of what all entries may send to a target, for large fleets.

        Unlike ``requests_for`` it assumes that unknown entries are spread over all ranks, and it
        returns 0 until the other entries are known.
        """
        if not self.is_settled(now_s):
            return 0
        headroom = max(MIN_HEADROOM, self.entry_count // ENTRIES_PER_HEADROOM)
        count = self.entry_count + headroom
        base, remainder = divmod(amount, count)
        extra_ranks = remainder - math.ceil(remainder * headroom / count)
        return base + (self._rank(instance) < extra_ranks)

    def _rank(self, instance: InstanceId) -> int:
        """Return how many entries rank before this one for a target."""
        position = self._ranks.get(instance)
        if position is None:
            position = rank(instance, (self._me, *self._last_seen_s)).index(self._me)
            self._ranks[instance] = position
        return position


__all__ = [
    "ALONE_TIMEOUT_S",
    "ENTRY_RETENTION_S",
    "MESH_SETTLE_S",
    "MIN_HEADROOM",
    "REGISTERED_SETTLE_S",
    "SETTLE_S",
    "StaticShare",
]
