# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import HallId, NodeId
from ochreway_direct.entries.cells import (
    CELL_ENTRIES,
    HEADS,
    MESH_ENTRIES,
    READERS,
    Candidate,
    Cells,
)


def entries(number: int, halls: int = 3) -> list[Candidate]:
    return [Candidate(NodeId(f"e{n:03}"), HallId(f"h{n % halls}"), 1.0) for n in range(number)]


class CellsTests(testtools.TestCase):
    def test_few_entries_all_tell_all(self) -> None:
        known = entries(MESH_ENTRIES)
        cells = Cells(known)
        self.assertTrue(cells.meshed)
        self.assertEqual(MESH_ENTRIES - 1, len(cells.contacts(known[0].node)))

    def test_each_entry_has_one_cell_of_its_hall_and_each_cell_has_heads(self) -> None:
        known = entries(300)
        cells = Cells(known)
        found = {each.node: cells.cell(each.node) for each in known}
        for each in known:
            self.assertTrue(found[each.node].startswith(each.hall))
            self.assertEqual(HEADS, len(cells.heads(found[each.node])))
        sizes = [len(cells.members(cell)) for cell in set(found.values())]
        self.assertLess(max(sizes), 2 * CELL_ENTRIES)

    def test_the_strongest_speak_and_those_that_are_not_trusted_do_not(self) -> None:
        known = entries(MESH_ENTRIES + 1)
        strong = Candidate(NodeId("z"), HallId("h0"), 2.0)
        silent = Candidate(NodeId("a"), HallId("h0"), 3.0, trusted=False)
        cells = Cells([*known, strong, silent])
        heads = cells.heads(cells.cell(NodeId("z")))
        self.assertEqual((NodeId("z"), NodeId("e000")), heads)

    def test_a_cell_that_nobody_is_trusted_in_has_heads_all_the_same(self) -> None:
        known = [
            Candidate(NodeId(f"e{n}"), HallId("h"), 1.0, trusted=False)
            for n in range(MESH_ENTRIES + 1)
        ]
        cells = Cells(known)
        self.assertEqual(HEADS, len(cells.heads(cells.cell(NodeId("e0")))))

    def test_a_few_entries_of_different_cells_read_for_all(self) -> None:
        cells = Cells(entries(100))
        readers = cells.readers()
        self.assertEqual(READERS, len({cells.cell(node) for node in readers}))
        self.assertEqual(5, len(Cells(entries(5)).readers()))

    def test_an_entry_more_moves_few_others(self) -> None:
        before, after = Cells(entries(300)), Cells(entries(303))
        moved = [e for e in entries(300) if before.cell(e.node) != after.cell(e.node)]
        self.assertLess(len(moved), 100)
