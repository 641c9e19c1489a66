# SPDX-License-Identifier: Apache-2.0
"""Memory that a process has freed goes back to the kernel."""

import os

import testtools

from ochreway_runtime.heap import TRIM_INTERVAL_S, Heap
from ochreway_standins.procstat import memory_mb

BLOCKS = 2000
BLOCK_BYTES = 60_000


class HeapTests(testtools.TestCase):
    def test_holes_between_small_blocks_are_given_back(self) -> None:
        blocks = [(bytes(BLOCK_BYTES), bytearray(600)) for _ in range(BLOCKS)]
        before_mb = memory_mb(os.getpid())
        kept = [small for _, small in blocks]
        del blocks
        self.assertTrue(Heap().trim(0.0))
        self.assertLess(memory_mb(os.getpid()), before_mb - BLOCKS * BLOCK_BYTES / 2e6)
        self.assertEqual(BLOCKS, len(kept))

    def test_it_is_not_done_again_at_once(self) -> None:
        heap = Heap()
        trims = [heap.trim(now_s) for now_s in (0.0, TRIM_INTERVAL_S / 2, TRIM_INTERVAL_S)]
        self.assertEqual([True, False, True], trims)
