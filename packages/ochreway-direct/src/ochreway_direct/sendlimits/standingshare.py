# SPDX-License-Identifier: Apache-2.0
"""The share of an allowance that an entry has by itself, from the entries that it knows."""

import math
from collections.abc import Iterable

from ochreway_core.ids import InstanceId, NodeId
from ochreway_core.rendezvous import rank
from ochreway_direct.entries.cells import MAX_MESH_ENTRIES

HEADROOM = 2
HEADROOM_PART = 8
"""How many entries not known yet are provided for: a few, or one for so many that are known."""
REMEMBERED_S = 300.0
"""For how long an entry counts that nobody hears; one that is cut off still serves its callers."""
SETTLED_S = 10.0
SETTLED_MESH_S = 3.0
"""How long an entry hears others before it goes by their number: all names have gone round.

Heartbeats name all entries within 32 of them, and those of a mesh within three.
"""
ALONE_S = 20.0
"""For how long an entry that hears nobody goes by the number that it knew.

Meanwhile others may be added unheard; the headroom is for those.
"""
RANKS_AT_MOST = 5000
"""How many targets' ranks are kept, those of targets that are gone too: some 0.5 MB."""


class StandingShare:
    """Divide the standing part of an allowance by the entries known, each entry for itself.

    Entries may know of different others. The sum of their shares stays within the part while each
    knows of all that run but as many as there is headroom for.
    """

    def __init__(self, me: NodeId, seeds: int, began_s: float) -> None:
        """Start knowing nobody; there are at least as many entries as ``seeds``."""
        self._me = me
        self._seeds = seeds
        self._known_s: dict[NodeId, float] = {}
        self._heard_since_s = began_s
        self._heard_s = began_s
        self._ever_heard = seeds <= 1
        self._ranks: dict[InstanceId, int] = {}

    def learn(self, names: Iterable[NodeId], heard: bool, now_s: float) -> None:
        """Take the names of other entries, and whether any of them is heard now."""
        before = set(self._known_s)
        for name in names:
            self._known_s[name] = now_s
        self._known_s = {n: s for n, s in self._known_s.items() if now_s - s < REMEMBERED_S}
        if self._known_s.keys() != before or len(self._ranks) > RANKS_AT_MOST:
            self._ranks.clear()
        if not heard:
            return
        if not self._ever_heard or now_s - self._heard_s > ALONE_S:
            self._heard_since_s = now_s
        self._ever_heard = True
        self._heard_s = now_s

    def settled(self, now_s: float) -> bool:
        """Tell whether the entries known are all that there are, but for a few new ones."""
        alone = self._known_s and now_s - self._heard_s > ALONE_S
        least_s = SETTLED_MESH_S if self.known <= MAX_MESH_ENTRIES else SETTLED_S
        return self._ever_heard and not alone and now_s - self._heard_since_s >= least_s

    @property
    def known(self) -> int:
        """Return how many entries are counted, this one too."""
        return max(1 + len(self._known_s), self._seeds)

    def of(self, part: int, instance: InstanceId, now_s: float) -> int:
        """Return how many requests a second a target may get from this entry.

        Each entry has the same number. Of what is left over, one each goes to the entries that
        rank first for the target; as many as there is headroom for may take themselves to be.
        """
        headroom = max(HEADROOM, self.known // HEADROOM_PART)
        each, left = divmod(part, self.known + headroom)
        if each and not self.settled(now_s):
            return 1
        first = left - (headroom if each else min(headroom, part // 2))
        return each + (self._rank(instance) < first)

    def equal_of(self, part: int, instance: InstanceId, now_s: float) -> int:
        """Return an equal share of what all entries may send a target, for fleets of many.

        Unlike ``of`` it takes entries that are not known to be spread over all ranks, and takes
        nothing before it knows the others.
        """
        if not self.settled(now_s):
            return 0
        headroom = max(HEADROOM, self.known // HEADROOM_PART)
        count = self.known + headroom
        each, left = divmod(part, count)
        first = left - math.ceil(left * headroom / count)
        return each + (self._rank(instance) < first)

    def _rank(self, instance: InstanceId) -> int:
        """Return how many entries come before this one for a target."""
        found = self._ranks.get(instance)
        if found is None:
            found = rank(instance, (self._me, *self._known_s)).index(self._me)
            self._ranks[instance] = found
        return found


__all__ = ["ALONE_S", "HEADROOM", "REMEMBERED_S", "SETTLED_MESH_S", "SETTLED_S", "StandingShare"]
