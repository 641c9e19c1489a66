# SPDX-License-Identifier: Apache-2.0
"""Which entries speak for which others, so that nobody has to hear everyone.

Entries of a hall stand in cells of a bounded size. A cell's members tell its heads what they do,
the heads tell each other what their cells do, and their members what is done elsewhere. While
there are few entries each is a cell of its own, and all tell all.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import HallId, NodeId
from ochreway_core.rendezvous import rank
from ochreway_direct.ids import CellId

MAX_MESH_ENTRIES = 24
"""Up to how many entries all tell all: below it the heads would be most of the entries."""
CELL_ENTRIES = 16
"""How many entries a cell has on average at most; a head's messages grow with it."""
STORE_READERS = 2
"""How many entries ask the store for a newer configuration on behalf of the others, above a mesh.

In a mesh each asks itself. With two readers of five, both cut off in the same moment, the others
used a key for 2.0 s after it was taken away, the whole bound of such a site: whoever does not read
asks only once its newest proof is older than proofs usually are, 2.7 s. All asking costs 0.009 of
worth among 16 entries, as calls to the store.
"""
HEADS_PER_CELL = 2
"""How many entries speak for a cell, so that one may be lost or frozen unnoticed by users."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold what an entry's place depends on; one that is not ``trusted`` becomes no head."""

    node: NodeId
    hall: HallId
    strength: float
    trusted: bool = True


class Cells:
    """Hold the cells of all entries that are known, and their heads.

    Entries that know the same others find the same cells. Until they do, some are counted twice
    or not at all for a moment, which concerns the choice of places only.
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
        """Return the cell of an entry that is known."""
        return self._cell_of[node]

    def members(self, cell: CellId) -> tuple[NodeId, ...]:
        """Return the entries of a cell, the strongest first; none of one that is not known."""
        return tuple(entry.node for entry in self._cells.get(cell, ()))

    def heads(self, cell: CellId) -> tuple[NodeId, ...]:
        """Return the entries that speak for a cell."""
        return self._heads[cell]

    def all_heads(self) -> tuple[NodeId, ...]:
        """Return the heads of every cell."""
        return tuple(node for heads in self._heads.values() for node in heads)

    def readers(self) -> tuple[NodeId, ...]:
        """Return the entries that ask the store for all: the first heads of a few cells."""
        if self.meshed:
            return tuple(self._cell_of)
        cells = sorted(self._heads)[:STORE_READERS]
        return tuple(self._heads[cell][0] for cell in cells)

    def is_head(self, node: NodeId) -> bool:
        """Tell whether an entry speaks for its cell."""
        return node in self._heads[self.cell(node)]

    def contacts(self, node: NodeId) -> tuple[NodeId, ...]:
        """Return the entries that one exchanges heartbeats with."""
        own = self.cell(node)
        if not self.is_head(node):
            return self.heads(own)
        nodes = dict.fromkeys((*self.members(own), *self.all_heads()))
        return tuple(each for each in nodes if each != node)


def _single_cells(known: list[Candidate]) -> dict[CellId, list[Candidate]]:
    return {CellId(entry.node): [entry] for entry in known}


def _cells_by_hall(known: list[Candidate]) -> dict[CellId, list[Candidate]]:
    """Share the entries of each hall out; a change moves few of them."""
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
