# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_nodes.entry.subset import GROUPS_PER_TARGET, MIN_FOLLOWERS, follows


class SubsetTests(testtools.TestCase):
    @given(st.integers(1, 60), st.integers(GROUPS_PER_TARGET + 1, 120))
    def test_every_group_has_its_followers_and_every_entry_its_groups(
        self, entries: int, groups: int
    ) -> None:
        counts = [
            [follows(position, entries, index, groups) for index in range(groups)]
            for position in range(entries)
        ]
        by_group = {sum(column) for column in zip(*counts, strict=True)}
        self.assertEqual(1, len(by_group))
        self.assertGreaterEqual(by_group.pop(), min(entries, MIN_FOLLOWERS))
        by_entry = [sum(row) for row in counts]
        self.assertGreaterEqual(min(by_entry), min(GROUPS_PER_TARGET, groups) - 2)

    def test_entries_follow_about_ten_groups_at_the_design_size(self) -> None:
        entries, groups = 157, 75
        counts = [
            sum(follows(position, entries, index, groups) for index in range(groups))
            for position in range(entries)
        ]
        self.assertTrue(9 <= min(counts) <= max(counts) <= 12)
