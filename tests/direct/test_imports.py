# SPDX-License-Identifier: Apache-2.0
"""Modules that an entry must not load at its start, as callers wait for it after a restart."""

import subprocess
import sys

import testtools

UNNEEDED_MODULES = ("cryptography", "ochreway_core.messages", "ochreway_core.signoff")
IMPORT_CHECK = (
    "import sys, ochreway_direct.main; print([n for n in sys.argv[1:] if n in sys.modules])"
)


class ImportTests(testtools.TestCase):
    def test_native_messages_and_signatures_are_not_loaded(self) -> None:
        shown = subprocess.run(
            [sys.executable, "-c", IMPORT_CHECK, *UNNEEDED_MODULES],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("[]", shown.stdout.strip())
