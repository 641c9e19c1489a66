# SPDX-License-Identifier: Apache-2.0
"""Partition of entries into cells with heads, which bounds the number of heartbeats.

The entries of a hall are divided into cells of bounded size. Members report their work to the
heads of their cell; heads report their cell's work to each other, and the work of all others to
their members. While there are few entries, each is a cell of its own and all form a full mesh.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import HallId, NodeId
from ochreway_core.rendezvous import rank
from ochreway_direct.ids import CellId

MAX_MESH_ENTRIES = 24
"""Maximum size of a full mesh; with fewer entries in cells, most of them would be heads."""
CELL_ENTRIES = 16
"""Maximum mean number of entries in a cell; the number of a head's messages grows with it."""
STORE_READERS = 2
"""Number of entries that poll the store for a newer configuration for all, above a mesh.

In a mesh each entry polls the store itself. With two readers for five entries, both cut off at
once, the others used a revoked key for 2.0 s, the whole bound of such a site: an entry that is not
a reader polls only once its newest proof is older than usual, 2.7 s. Polling by all 16 entries
costs 0.009 of utility in calls to the store.
"""
HEADS_PER_CELL = 2
"""Number of heads of a cell, so that the loss or freeze of one goes unnoticed by users."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold what an entry's position among the cells depends on.

    One that is not ``trusted`` becomes a head only where no entry of the cell is trusted.
    """

    node: NodeId
    hall: HallId
    strength: float
    trusted: bool = True


class Cells:
    """Hold the cells of all known entries, and their heads.

    Entries that know the same others compute the same cells. Until they do, the work of some is
    briefly counted twice or not at all, which affects only the choice of targets.
    """

    def __init__(self, entries: Iterable[Candidate], mesh_entries: int = MAX_MESH_ENTRIES) -> None:
        known = sorted(entries, key=lambda each: (-each.strength, each.node))
        self.meshed = len(known) <= mesh_entries
        self._cells = _single_cells(known) if self.meshed else _cells_by_hall(known)
        self._cell_of = {
            e.node: cell for cell, members_of in self._cells.items() for e in members_of
        }
        self._heads = {cell: _heads(members_of) for cell, members_of in self._cells.items()}

    def cell(self, node: NodeId) -> CellId:
        """Return the cell of a known entry."""
        return self._cell_of[node]

    def members(self, cell: CellId) -> tuple[NodeId, ...]:
        """Return the entries of a cell, the strongest first; empty if the cell is not known."""
        return tuple(entry.node for entry in self._cells.get(cell, ()))

    def heads(self, cell: CellId) -> tuple[NodeId, ...]:
        """Return the heads of a cell."""
        return self._heads[cell]

    def all_heads(self) -> tuple[NodeId, ...]:
        """Return the heads of every cell."""
        return tuple(node for heads in self._heads.values() for node in heads)

    def readers(self) -> tuple[NodeId, ...]:
        """Return the entries that poll the store for all: the first heads of a few cells."""
        if self.meshed:
            return tuple(self._cell_of)
        cells = sorted(self._heads)[:STORE_READERS]
        return tuple(self._heads[cell][0] for cell in cells)

    def is_head(self, node: NodeId) -> bool:
        """Return whether an entry is a head of its cell."""
        return node in self._heads[self.cell(node)]

    def contacts(self, node: NodeId) -> tuple[NodeId, ...]:
        """Return the entries that an entry exchanges heartbeats with."""
        own = self.cell(node)
        if not self.is_head(node):
            return self.heads(own)
        nodes = dict.fromkeys((*self.members(own), *self.all_heads()))
        return tuple(each for each in nodes if each != node)


def _single_cells(known: list[Candidate]) -> dict[CellId, list[Candidate]]:
    return {CellId(entry.node): [entry] for entry in known}


def _cells_by_hall(known: list[Candidate]) -> dict[CellId, list[Candidate]]:
    """Assign the entries of each hall to cells by rendezvous hashing, so a change moves few."""
    halls: dict[HallId, list[Candidate]] = defaultdict(list)
    for entry in known:
        halls[entry.hall].append(entry)
    cells: dict[CellId, list[Candidate]] = defaultdict(list)
    for hall, entries in halls.items():
        names = [f"{hall}/{n}" for n in range(math.ceil(len(entries) / CELL_ENTRIES))]
        for entry in entries:
            cells[CellId(rank(entry.node, names)[0])].append(entry)
    return dict(cells)


def _heads(entries: list[Candidate]) -> tuple[NodeId, ...]:
    trusted = [entry for entry in entries if entry.trusted] or entries
    return tuple(entry.node for entry in trusted[:HEADS_PER_CELL])


__all__ = ["CELL_ENTRIES", "HEADS_PER_CELL", "MAX_MESH_ENTRIES", "Candidate", "Cells"]
