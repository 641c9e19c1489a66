# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.effects import Send
from ochreway_core.ids import DomainId, Epoch, GroupId, Incarnation, NodeId, TargetName, Version
from ochreway_core.messages import Grant, Heartbeat, Order
from ochreway_core.peer import Peer
from ochreway_core.rows import GroupRow
from ochreway_core.targetkind import TargetKind
from ochreway_core.timing import Timing
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.targetstate import TargetState

DOMAIN = DomainId("d1")
TTL_S = Timing().grant_ttl_s


def peer(name: str) -> Peer:
    return Peer(NodeId(name), f"{name}:1")


def row(members: str, epoch: int = 5, group: str = "g", **more: object) -> GroupRow:
    return GroupRow(
        GroupId(group),
        DOMAIN,
        TargetKind.MODEL,
        TargetName("m"),
        "art",
        4,
        1,
        Epoch(epoch),
        0,
        Version(1),
        False,
        tuple(map(peer, members)),
        tuple(map(peer, str(more.get("standbys", "")))),
    )


class LeaderCase(testtools.TestCase):
    """Make agents, orders and heartbeats."""

    def agent(self, name: str) -> AgentNode:
        return AgentNode(peer(name), Incarnation(1), Timing(), {}, 0.0, 0.0)

    def tell(
        self, agent: AgentNode, message: object, now_s: float, sender: str = "x"
    ) -> list[object]:
        agent.on_message(peer(sender), Version(0), message, now_s)
        return [each.message for each in agent.take() if isinstance(each, Send)]

    def order(self, agent: AgentNode, given: GroupRow, now_s: float = 10.0) -> None:
        self.tell(agent, Order(DOMAIN, Epoch(1), given), now_s)  # type: ignore[arg-type]

    def beat(self, given: GroupRow, sequence: int = 1, riding: bool = False) -> Heartbeat:
        rides = given if riding else None
        return Heartbeat(given.group, given.epoch, given.formation, sequence, False, rides)

    def leader(self, now_s: float = 10.0, standbys: str = "") -> tuple[AgentNode, GroupRow]:
        agent, given = self.agent("a"), row("abc", standbys=standbys)
        self.order(agent, given, now_s)
        self.serve(agent, given, now_s, "bc" + standbys)
        return agent, given

    def serve(self, agent: AgentNode, given: GroupRow, now_s: float, grants: str) -> None:
        agent.on_target_state(TargetState(given.fence, "art", True, now_s))
        agent.on_tick(now_s)
        agent.take()
        assert agent.membership.gate is not None
        sequence = agent.membership.gate.sequence
        for name in grants:
            grant = Grant(given.group, given.epoch, sequence, True, False)
            self.tell(agent, grant, now_s, name)
