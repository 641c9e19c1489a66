# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import HallId, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.entries.knownentry import KnownEntry
from ochreway_direct.entries.peers import DISTRUST_S, ENTRY_RETENTION_S, FORWARDING_DELAY_S, Peers
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

    def test_a_holder_whose_process_ended_is_dropped_at_once_but_stays_known(self) -> None:
        peers, message = self.peers, heartbeat(LeaseSighting(OTHER, 3))
        peers.on_heartbeat(OTHER, message, 10.0)
        self.assertIsNotNone(peers.holder(10.1))
        peers.on_process_ended(OTHER.node, 10.1)
        self.assertIsNone(peers.holder(10.1))
        self.assertEqual([OTHER], peers.all_peers())
        peers.on_heartbeat(THIRD, heartbeat(LeaseSighting(OTHER, 3, 0.2)), 10.15)
        self.assertIsNone(peers.holder(10.15))
        peers.on_heartbeat(OTHER, message, 10.2)
        self.assertIsNotNone(peers.holder(10.3))

    def test_a_holder_that_is_stopping_is_dropped_at_once(self) -> None:
        self.peers.on_heartbeat(OTHER, heartbeat(LeaseSighting(OTHER, 3)), 10.0)
        self.peers.on_heartbeat(OTHER, heartbeat(LeaseSighting(OTHER, 3), stopping=True), 10.1)
        self.assertIsNone(self.peers.holder(10.1))

    def test_a_holder_is_known_from_others_while_any_entry_receives_its_heartbeats(self) -> None:
        self.peers.on_heartbeat(THIRD, heartbeat(LeaseSighting(OTHER, 3, 0.4)), 10.0)
        self.assertEqual(OTHER, self.peers.holder(10.5))
        sighting = self.peers.sighting(10.5)
        assert sighting is not None
        self.assertAlmostEqual(0.9, sighting.silent_s)
        self.assertIsNone(self.peers.holder(9.6 + SILENT_S + FORWARDING_DELAY_S + 0.01))

    def test_an_entry_named_by_others_is_dropped_once_it_is_silent_everywhere(self) -> None:
        self.peers.merge_entries((KnownEntry(THIRD, HALL, 1.0, ENTRY_RETENTION_S - 1.0),), 10.0)
        self.peers.drop_expired(10.5)
        self.assertEqual([THIRD], self.peers.all_peers())
        again = KnownEntry(THIRD, HALL, 1.0, ENTRY_RETENTION_S + 0.5)
        self.peers.drop_expired(11.5)
        self.peers.merge_entries((again,), 11.5)
        self.assertEqual([], self.peers.all_peers())

    def test_an_entry_that_misses_expected_heartbeats_is_not_trusted(self) -> None:
        self.peers.merge_entries((KnownEntry(OTHER, HALL, 2.0),), 10.0)
        self.assertEqual([], self.peers.update_expected((OTHER.node,), 10.0))
        self.assertTrue(self.trusted(10.5))
        self.assertEqual([OTHER.node], self.peers.update_expected((OTHER.node,), 11.5))
        self.assertTrue(self.trusted(11.5))
        self.assertEqual([], self.peers.update_expected((OTHER.node,), 13.0))
        self.assertFalse(self.trusted(13.0))
        self.assertTrue(self.trusted(13.0 + DISTRUST_S))
        self.peers.on_heartbeat(OTHER, heartbeat(), 13.5)
        self.assertTrue(self.trusted(13.5))

    def test_the_stronger_take_the_lease_first(self) -> None:
        self.peers.on_heartbeat(THIRD, heartbeat(), 10.0)
        self.assertEqual(0, self.peers.rank(10.1))
        weak = Peers(KnownEntry(ME, HALL, 0.5), SILENT_S)
        weak.on_heartbeat(THIRD, heartbeat(), 10.0)
        self.assertEqual(1, weak.rank(10.1))

    def trusted(self, now_s: float) -> bool:
        return next(c.trusted for c in self.peers.candidates(now_s) if c.node == OTHER.node)
