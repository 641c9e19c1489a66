# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import FORGOTTEN_S, SHUNNED_S, TOLD_S, Peers
from ochreway_direct.ids import CellId
from ochreway_direct.messages import FleetMark, Heartbeat, LeaseSighting
from ochreway_direct.work import NO_WORK

HALL = HallId("h")
ME, OTHER, THIRD = (Peer(NodeId(name), f"{name}:1") for name in ("me", "other", "third"))
SILENT_S = 1.0


def heartbeat(
    holder: LeaseSighting | None = None, *entries: KnownEntry, stopping: bool = False
) -> Heartbeat:
    return Heartbeat(
        incarnation="1",
        hall=HALL,
        strength=1.0,
        sent_s=0.0,
        echo_s=None,
        wanted=True,
        version=1,  # type: ignore[arg-type]
        proof_age_s=0.0,
        stopping=stopping,
        holder=holder,
        fleet=FleetMark(),
        cell=CellId("h/0"),
        coverage=Coverage.OWN,
        work=NO_WORK,
        entries=entries,
    )


class PeersTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = Peers(KnownEntry(ME, HALL, 1.0), SILENT_S)

    def test_a_holder_whose_process_has_ended_is_none_at_once_and_is_remembered(self) -> None:
        peers, says = self.peers, heartbeat(LeaseSighting(OTHER, 3))
        peers.hear(OTHER, says, 10.0)
        self.assertIsNotNone(peers.holder(10.1))
        peers.ended(OTHER.node, 10.1)
        self.assertIsNone(peers.holder(10.1))
        self.assertEqual([OTHER], peers.all())
        peers.hear(THIRD, heartbeat(LeaseSighting(OTHER, 3, 0.2)), 10.15)
        self.assertIsNone(peers.holder(10.15))
        peers.hear(OTHER, says, 10.2)
        self.assertIsNotNone(peers.holder(10.3))

    def test_a_holder_that_stops_is_none_at_once(self) -> None:
        self.peers.hear(OTHER, heartbeat(LeaseSighting(OTHER, 3)), 10.0)
        self.peers.hear(OTHER, heartbeat(LeaseSighting(OTHER, 3), stopping=True), 10.1)
        self.assertIsNone(self.peers.holder(10.1))

    def test_a_holder_is_known_from_others_for_as_long_as_somebody_hears_it(self) -> None:
        self.peers.hear(THIRD, heartbeat(LeaseSighting(OTHER, 3, 0.4)), 10.0)
        self.assertEqual(OTHER, self.peers.holder(10.5))
        sighting = self.peers.sighting(10.5)
        assert sighting is not None
        self.assertAlmostEqual(0.9, sighting.silent_s)
        self.assertIsNone(self.peers.holder(9.6 + SILENT_S + TOLD_S + 0.01))

    def test_an_entry_named_by_others_is_forgotten_once_nobody_hears_it(self) -> None:
        self.peers.learn((KnownEntry(THIRD, HALL, 1.0, FORGOTTEN_S - 1.0),), 10.0)
        self.peers.forget_silent(10.5)
        self.assertEqual([THIRD], self.peers.all())
        again = KnownEntry(THIRD, HALL, 1.0, FORGOTTEN_S + 0.5)
        self.peers.forget_silent(11.5)
        self.peers.learn((again,), 11.5)
        self.assertEqual([], self.peers.all())

    def test_an_entry_that_owes_heartbeats_and_is_silent_speaks_for_nobody(self) -> None:
        self.peers.learn((KnownEntry(OTHER, HALL, 2.0),), 10.0)
        self.assertEqual([], self.peers.expect((OTHER.node,), 10.0))
        self.assertTrue(self.trusted(10.5))
        self.assertEqual([OTHER.node], self.peers.expect((OTHER.node,), 11.5))
        self.assertTrue(self.trusted(11.5))
        self.assertEqual([], self.peers.expect((OTHER.node,), 13.0))
        self.assertFalse(self.trusted(13.0))
        self.assertTrue(self.trusted(13.0 + SHUNNED_S))
        self.peers.hear(OTHER, heartbeat(), 13.5)
        self.assertTrue(self.trusted(13.5))

    def test_the_stronger_take_the_lease_first(self) -> None:
        self.peers.hear(THIRD, heartbeat(), 10.0)
        self.assertEqual(0, self.peers.rank(10.1))
        weak = Peers(KnownEntry(ME, HALL, 0.5), SILENT_S)
        weak.hear(THIRD, heartbeat(), 10.0)
        self.assertEqual(1, weak.rank(10.1))

    def trusted(self, now_s: float) -> bool:
        return next(c.trusted for c in self.peers.candidates(now_s) if c.node == OTHER.node)
