# SPDX-License-Identifier: Apache-2.0
"""The cases of the review as tests; they are skipped unless REVIEW_CASES is set."""

import os
import subprocess
import unittest
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
HELD = 0


@unittest.skipUnless("REVIEW_CASES" in os.environ, "played only where REVIEW_CASES is set")
class ReviewCases(unittest.TestCase):
    """Play a case's script; it ends with 1 if its rule was broken."""

    def _play(self, number: int) -> None:
        script = FOLDER / str(number) / "run.sh"
        ended = subprocess.run([script], capture_output=True, text=True, timeout=150, check=False)
        self.assertEqual(HELD, ended.returncode, ended.stdout + ended.stderr)

    def test_no_server_joins_a_group_while_its_own_head_is_open(self) -> None:
        self._play(1)

    def test_rows_of_another_writer_take_out_no_server(self) -> None:
        self._play(2)


if __name__ == "__main__":
    unittest.main()
