# SPDX-License-Identifier: Apache-2.0
"""The share of an allowance that an entry has by itself, from the entries that it knows."""

import math
from collections.abc import Iterable

from ochreway_core.ids import InstanceId, NodeId
from ochreway_core.rendezvous import rank
from ochreway_direct.entries.cells import MAX_MESH_ENTRIES

MIN_HEADROOM = 2
ENTRIES_PER_HEADROOM = 8
"""How many entries not known yet are provided for: a few, or one for so many that are known."""
ENTRY_RETENTION_S = 300.0
"""For how long an entry counts that nobody hears; one that is cut off still serves its callers."""
SETTLE_S = 10.0
MESH_SETTLE_S = 3.0
"""How long an entry hears others before it goes by their number: all names have gone round.

Heartbeats name all entries within 32 of them, and those of a mesh within three.
"""
ALONE_TIMEOUT_S = 20.0
"""For how long an entry that hears nobody goes by the number that it knew.

Meanwhile others may be added unheard; the headroom is for those.
"""
MAX_RANKS = 5000
"""How many targets' ranks are kept, those of targets that are gone too: some 0.5 MB."""


class StaticShare:
    """Divide the standing part of an allowance by the entries known, each entry for itself.

    Entries may know of different others. The sum of their shares stays within the part while each
    knows of all that run but as many as there is headroom for.
    """

    def __init__(self, me: NodeId, seeds: int, started_s: float) -> None:
        """Start knowing nobody; there are at least as many entries as ``seeds``."""
        self._me = me
        self._seeds = seeds
        self._last_seen_s: dict[NodeId, float] = {}
        self._connected_since_s = started_s
        self._last_connected_s = started_s
        self._ever_connected = seeds <= 1
        self._ranks: dict[InstanceId, int] = {}

    def update_entries(self, names: Iterable[NodeId], any_alive: bool, now_s: float) -> None:
        """Take the names of other entries, and whether any of them is heard now."""
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
        if not self._ever_connected or now_s - self._last_connected_s > ALONE_TIMEOUT_S:
            self._connected_since_s = now_s
        self._ever_connected = True
        self._last_connected_s = now_s

    def is_settled(self, now_s: float) -> bool:
        """Tell whether the entries known are all that there are, but for a few new ones."""
        alone = self._last_seen_s and now_s - self._last_connected_s > ALONE_TIMEOUT_S
        settle_s = MESH_SETTLE_S if self.entry_count <= MAX_MESH_ENTRIES else SETTLE_S
        return self._ever_connected and not alone and now_s - self._connected_since_s >= settle_s

    @property
    def entry_count(self) -> int:
        """Return how many entries are counted, this one too."""
        return max(1 + len(self._last_seen_s), self._seeds)

    def requests_for(self, amount: int, instance: InstanceId, now_s: float) -> int:
        """Return how many requests a second a target may get from this entry.

        Each entry has the same number. Of what is left over, one each goes to the entries that
        rank first for the target; as many as there is headroom for may take themselves to be.
        """
        headroom = max(MIN_HEADROOM, self.entry_count // ENTRIES_PER_HEADROOM)
        base, remainder = divmod(amount, self.entry_count + headroom)
        if base and not self.is_settled(now_s):
            return 1
        extra_ranks = remainder - (headroom if base else min(headroom, amount // 2))
        return base + (self._rank(instance) < extra_ranks)

    def equal_requests_for(self, amount: int, instance: InstanceId, now_s: float) -> int:
        """Return an equal share of what all entries may send a target, for fleets of many.

        Unlike ``of`` it takes entries that are not known to be spread over all ranks, and takes
        nothing before it knows the others.
        """
        if not self.is_settled(now_s):
            return 0
        headroom = max(MIN_HEADROOM, self.entry_count // ENTRIES_PER_HEADROOM)
        count = self.entry_count + headroom
        base, remainder = divmod(amount, count)
        extra_ranks = remainder - math.ceil(remainder * headroom / count)
        return base + (self._rank(instance) < extra_ranks)

    def _rank(self, instance: InstanceId) -> int:
        """Return how many entries come before this one for a target."""
        position = self._ranks.get(instance)
        if position is None:
            position = rank(instance, (self._me, *self._last_seen_s)).index(self._me)
            self._ranks[instance] = position
        return position


__all__ = [
    "ALONE_TIMEOUT_S",
    "MIN_HEADROOM",
    "ENTRY_RETENTION_S",
    "MESH_SETTLE_S",
    "SETTLE_S",
    "StaticShare",
]
