# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_direct.messages import Heartbeat
from ochreway_direct.peers import Peers

ME, OTHER = Peer(NodeId("me"), "h:1"), Peer(NodeId("other"), "h:2")
SILENT_S = 1.0


def heartbeat(holds_lease: bool) -> Heartbeat:
    return Heartbeat(
        incarnation="1",
        sent_s=0.0,
        echo_s=None,
        version=1,  # type: ignore[arg-type]
        proof_age_s=0.0,
        lease_revision=3,
        holds_lease=holds_lease,
        stopping=False,
        fleet_revision=0,
        under_way={},
        unread={},
        offered={},
        peers=(),
    )


class PeersTests(testtools.TestCase):
    def test_a_holder_whose_process_has_ended_is_none_at_once_and_is_remembered(self) -> None:
        peers = Peers(ME, SILENT_S)
        peers.hear(OTHER, heartbeat(True), 10.0)
        self.assertIsNotNone(peers.holder(10.1))
        peers.ended(OTHER.node, 10.1)
        self.assertIsNone(peers.holder(10.1))
        self.assertEqual([OTHER], peers.all())
        peers.hear(OTHER, heartbeat(True), 10.2)
        self.assertIsNotNone(peers.holder(10.3))
