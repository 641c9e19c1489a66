# SPDX-License-Identifier: Apache-2.0
"""How many instances a controller has load weights at once."""

import random
from dataclasses import replace

from ochreway_core.bundle import Bundle
from ochreway_core.effects import Send
from ochreway_core.ids import Epoch, HallId, NodeId, Term, Version
from ochreway_core.messages import Warm
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.rows import LeaseRow
from ochreway_core.timing import Timing
from ochreway_nodes.controller.controller import WARM_EVERY_S, Controller
from ochreway_nodes.controller.health import Health
from ochreway_nodes.controller.planner import LOADS_AT_ONCE
from ochreway_nodes.controller.repair import ExpectedCost, RepairTuning
from ochreway_nodes.outbox import Outbox
from tests.nodes.test_planner import DOMAIN, NOW_S, PlannerCase, bundle

HERE, THERE = HallId("here"), HallId("there")
ME = NodeId("entry-1")
NAMES = "abcdefghijkl"


class WarmingTests(PlannerCase):
    """Two groups of three stand in a hall that is drained; six free instances stand elsewhere."""

    def setUp(self) -> None:
        super().setUp()
        free = set(NAMES) - set(self.health)
        self.health |= {NodeId(name): _health(name) for name in free}
        for name, health in self.health.items():
            health.hall = THERE if name in "abcdef" else HERE
        self.groups = self.both()
        self.rows.lease = LeaseRow(ME, Term(1), 1, Epoch(2))
        self.outbox = Outbox()
        self.controller = self._controller(bundle(NAMES))

    def _controller(self, wanted: Bundle) -> Controller:
        policy = ExpectedCost(RepairTuning())
        timing = Timing(lease_renew_s=1e9)
        controller = Controller(
            *(DOMAIN, ME, timing, policy, self.outbox, random.Random(1), lambda: 1, NOW_S)
        )
        controller.configure(wanted, Version(1))
        controller.rows = self.rows
        controller.health = self.health
        controller.drain_halls(frozenset((THERE,)), frozenset())
        return controller

    def warmed(self, now_s: float = NOW_S) -> list[Peer]:
        """Return who is told to load as a second has passed."""
        self.controller._warmed_s = now_s - WARM_EVERY_S
        self.controller._warm_spares(self.rows, now_s)
        sent = [each for each in self.outbox.take() if isinstance(each, Send)]
        return [each.peer for each in sent if isinstance(each.message, Warm)]

    def test_so_many_replacements_load_at_once_as_groups_may_form(self) -> None:
        first = self.warmed()
        self.assertEqual(LOADS_AT_ONCE, len(first))
        self.assertEqual(first, self.warmed())

    def test_the_next_load_once_those_before_are_warm(self) -> None:
        first = self.warmed()
        row = self.groups[0]
        for peer in first:
            self._load(peer, row.artifact)
        later = self.warmed()
        self.assertEqual(6 - LOADS_AT_ONCE, len(later))
        self.assertEqual(set(), set(first) & set(later))

    def test_groups_that_form_take_of_the_bound(self) -> None:
        self.report(self.groups[1], Reason.GROUP_INCOMPLETE)
        self.assertEqual(LOADS_AT_ONCE - 1, len(self.warmed()))

    def _load(self, peer: Peer, artifact: str) -> None:
        report = self.health[self.groups[0].leader.node].report
        assert report is not None
        self.health[peer.node].report = replace(report, node=peer.node, group="", artifact=artifact)


def _health(name: str) -> Health:
    return Health(Peer(NodeId(name), f"{name}:1"), listed=True, heard_s=NOW_S)
