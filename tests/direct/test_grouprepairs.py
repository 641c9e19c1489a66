# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_standins.grouprepairs import FAULTS, Ready, measure


class GroupRepairTests(testtools.TestCase):
    def test_staged_substitutes_shorten_every_repair(self) -> None:
        for fault in FAULTS:
            staged = measure(1, fault, Ready.STAGED)
            cold = measure(1, fault, Ready.COLD)
            self.assertLess(staged.restored_s, cold.restored_s / 3, fault)
            self.assertLess(staged.noticed_s, staged.restored_s, fault)
