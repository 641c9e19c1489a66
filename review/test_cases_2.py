# SPDX-License-Identifier: Apache-2.0
"""The cases of the second review as tests; they are skipped unless REVIEW_CASES_2 is set."""

import os
import subprocess
import unittest
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
HELD = 0


@unittest.skipUnless("REVIEW_CASES_2" in os.environ, "played only where REVIEW_CASES_2 is set")
class ReviewCases2(unittest.TestCase):
    """Play a case's script; it ends with 1 if its rule was broken."""

    def _play(self, number: int) -> None:
        script = FOLDER / str(number) / "run.sh"
        ended = subprocess.run([script], capture_output=True, text=True, timeout=150, check=False)
        self.assertEqual(HELD, ended.returncode, ended.stdout + ended.stderr)

    def test_silent_rows_of_another_writer_stop_no_forming_of_groups(self) -> None:
        self._play(7)

    def test_a_row_with_fields_missing_gets_no_requests(self) -> None:
        self._play(5)

    def test_no_member_is_joined_elsewhere_while_the_head_of_its_group_is_open(self) -> None:
        self._play(6)

    def test_a_row_of_another_writer_ends_no_timer(self) -> None:
        self._play(4)


if __name__ == "__main__":
    unittest.main()
