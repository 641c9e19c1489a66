# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import HallId, InstanceId
from ochreway_direct.ids import ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.lists.reusedaddresses import mark_reused_addresses
from ochreway_direct.ports import TargetReading

MODELS, NAMED, UNNAMED = ServiceName("models"), ServiceName("lookup"), ServiceName("registry")
REUSED, KEPT = InstanceId("i-1"), InstanceId("i-2")


def leaving_targets(*newer: ServiceName) -> set[InstanceId]:
    """Return who counts as leaving if newer entries name services at the first target's address."""
    targets = tuple(ListedTarget(each, MODELS, f"{each}:1", HallId("h")) for each in (REUSED, KEPT))
    reading = TargetReading(targets, 0.0, newer_services={REUSED: frozenset(newer)})
    marked = mark_reused_addresses(reading, lambda service: service == NAMED)
    return {each.instance for each in marked if each.leaving}


class ReusedAddressTests(testtools.TestCase):
    """Guard against entries of another writer that take out the targets they repeat."""

    def test_only_a_named_service_takes_an_address(self) -> None:
        self.assertEqual(set(), leaving_targets())
        self.assertEqual(set(), leaving_targets(UNNAMED))
        self.assertEqual({REUSED}, leaving_targets(NAMED))
        self.assertEqual({REUSED}, leaving_targets(UNNAMED, NAMED))
