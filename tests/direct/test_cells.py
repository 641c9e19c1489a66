# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import HallId, NodeId
from ochreway_direct.entries.cells import (
    CELL_ENTRIES,
    HEADS_PER_CELL,
    MAX_MESH_ENTRIES,
    STORE_READERS,
    Candidate,
    Cells,
)


def entries(number: int, halls: int = 3) -> list[Candidate]:
    return [Candidate(NodeId(f"e{n:03}"), HallId(f"h{n % halls}"), 1.0) for n in range(number)]


class CellsTests(testtools.TestCase):
    def test_few_entries_form_a_full_mesh(self) -> None:
        known = entries(MAX_MESH_ENTRIES)
        cells = Cells(known)
        self.assertTrue(cells.meshed)
        self.assertEqual(MAX_MESH_ENTRIES - 1, len(cells.contacts(known[0].node)))

    def test_each_entry_has_one_cell_of_its_hall_and_each_cell_has_heads(self) -> None:
        known = entries(300)
        cells = Cells(known)
        cell_by_node = {each.node: cells.cell(each.node) for each in known}
        for each in known:
            self.assertTrue(cell_by_node[each.node].startswith(each.hall))
            self.assertEqual(HEADS_PER_CELL, len(cells.heads(cell_by_node[each.node])))
        sizes = [len(cells.members(cell)) for cell in set(cell_by_node.values())]
        self.assertLess(max(sizes), 2 * CELL_ENTRIES)

    def test_the_strongest_trusted_entries_are_heads(self) -> None:
        known = entries(MAX_MESH_ENTRIES + 1)
        strong = Candidate(NodeId("z"), HallId("h0"), 2.0)
        silent = Candidate(NodeId("a"), HallId("h0"), 3.0, trusted=False)
        cells = Cells([*known, strong, silent])
        heads = cells.heads(cells.cell(NodeId("z")))
        self.assertEqual((NodeId("z"), NodeId("e000")), heads)

    def test_a_cell_without_trusted_entries_still_has_heads(self) -> None:
        known = [
            Candidate(NodeId(f"e{n}"), HallId("h"), 1.0, trusted=False)
            for n in range(MAX_MESH_ENTRIES + 1)
        ]
        cells = Cells(known)
        self.assertEqual(HEADS_PER_CELL, len(cells.heads(cells.cell(NodeId("e0")))))

    def test_store_readers_are_of_different_cells(self) -> None:
        cells = Cells(entries(100))
        readers = cells.readers()
        self.assertEqual(STORE_READERS, len({cells.cell(node) for node in readers}))
        self.assertEqual(5, len(Cells(entries(5)).readers()))

    def test_additional_entries_move_few_others(self) -> None:
        before, after = Cells(entries(300)), Cells(entries(303))
        moved = [e for e in entries(300) if before.cell(e.node) != after.cell(e.node)]
        self.assertLess(len(moved), 100)
