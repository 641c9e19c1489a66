# SPDX-License-Identifier: Apache-2.0
"""The bound on instances that a controller lets load weights at once."""

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
from ochreway_nodes.controller.controller import WARM_INTERVAL_S, Controller
from ochreway_nodes.controller.health import Health
from ochreway_nodes.controller.planner import MAX_CONCURRENT_LOADS
from ochreway_nodes.controller.repair import ExpectedCost, RepairTuning
from ochreway_nodes.outbox import Outbox
from tests.nodes.test_planner import DOMAIN, NOW_S, PlannerCase, bundle

OPEN_HALL, DRAINED_HALL = HallId("here"), HallId("there")
ME = NodeId("entry-1")
NAMES = "abcdefghijkl"


class WarmingTests(PlannerCase):
    """Two groups of three are in a drained hall; six free instances are in another hall."""

    def setUp(self) -> None:
        super().setUp()
        free = set(NAMES) - set(self.health)
        self.health |= {NodeId(name): _health(name) for name in free}
        for name, health in self.health.items():
            health.hall = DRAINED_HALL if name in "abcdef" else OPEN_HALL
        self.groups = self.add_two_groups()
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
        controller.set_drained_halls(frozenset((DRAINED_HALL,)), frozenset())
        return controller

    def warm_recipients(self, now_s: float = NOW_S) -> list[Peer]:
        """Return the recipients of the next round of warm-up orders."""
        self.controller._last_warm_s = now_s - WARM_INTERVAL_S
        self.controller._warm_spares(self.rows, now_s)
        sends = [effect for effect in self.outbox.take() if isinstance(effect, Send)]
        return [send.peer for send in sends if isinstance(send.message, Warm)]

    def test_replacements_load_within_the_bound_on_concurrent_loads(self) -> None:
        first = self.warm_recipients()
        self.assertEqual(MAX_CONCURRENT_LOADS, len(first))
        self.assertEqual(first, self.warm_recipients())

    def test_further_replacements_load_once_the_first_are_warm(self) -> None:
        first = self.warm_recipients()
        row = self.groups[0]
        for peer in first:
            self._set_warm(peer, row.artifact)
        later = self.warm_recipients()
        self.assertEqual(6 - MAX_CONCURRENT_LOADS, len(later))
        self.assertEqual(set(), set(first) & set(later))

    def test_forming_groups_count_against_the_bound(self) -> None:
        self.report(self.groups[1], Reason.GROUP_INCOMPLETE)
        self.assertEqual(MAX_CONCURRENT_LOADS - 1, len(self.warm_recipients()))

    def _set_warm(self, peer: Peer, artifact: str) -> None:
        report = self.health[self.groups[0].leader.node].report
        assert report is not None
        self.health[peer.node].report = replace(report, node=peer.node, group="", artifact=artifact)


def _health(name: str) -> Health:
    return Health(Peer(NodeId(name), f"{name}:1"), listed=True, last_seen_s=NOW_S)
