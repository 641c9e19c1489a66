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
    """Base class that builds agents, orders and heartbeats."""

    def agent(self, name: str) -> AgentNode:
        return AgentNode(peer(name), Incarnation(1), Timing(), {}, 0.0, 0.0)

    def deliver(
        self, agent: AgentNode, message: object, now_s: float, sender: str = "x"
    ) -> list[object]:
        agent.on_message(peer(sender), Version(0), message, now_s)
        return [effect.message for effect in agent.take() if isinstance(effect, Send)]

    def order(self, agent: AgentNode, group_row: GroupRow, now_s: float = 10.0) -> None:
        self.deliver(agent, Order(DOMAIN, Epoch(1), group_row), now_s)  # type: ignore[arg-type]

    def heartbeat(
        self, group_row: GroupRow, sequence: int = 1, with_row: bool = False
    ) -> Heartbeat:
        attached = group_row if with_row else None
        return Heartbeat(
            group_row.group, group_row.epoch, group_row.formation, sequence, False, attached
        )

    def leader(self, now_s: float = 10.0, standbys: str = "") -> tuple[AgentNode, GroupRow]:
        agent, group_row = self.agent("a"), row("abc", standbys=standbys)
        self.order(agent, group_row, now_s)
        self.serve(agent, group_row, now_s, "bc" + standbys)
        return agent, group_row

    def serve(self, agent: AgentNode, group_row: GroupRow, now_s: float, grants: str) -> None:
        agent.on_target_state(TargetState(group_row.fence, "art", True, now_s))
        agent.on_tick(now_s)
        agent.take()
        assert agent.membership.gate is not None
        sequence = agent.membership.gate.sequence
        for name in grants:
            grant = Grant(group_row.group, group_row.epoch, sequence, True, False)
            self.deliver(agent, grant, now_s, name)
