# SPDX-License-Identifier: Apache-2.0
"""Planned stop of a whole group while the leader's release notices are lost or come early.

Guards against agents that did not stop within 40 s of SIGTERM, because they waited until their
leader, which had stopped already, had been silent for a minute. The leader stopped as soon as it
had sent the notice that its members are released, whether or not it arrived. A member that had not
been asked to stop yet discarded the notice, and so did a member that adopted a later step of the
group's row afterwards.
"""

from collections.abc import Callable
from dataclasses import replace

from ochreway_core.effects import Send
from ochreway_core.ids import NodeId, Version
from ochreway_core.messages import Heartbeat
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.targetstate import TargetState
from tests.nodes.leadercase import LeaderCase, peer, row

TICK_S = 0.05
MAX_STOP_S = 3.0
"""Bound on the duration of a stop with no requests in flight."""
RUN_S = 70.0

LossRule = Callable[[NodeId, NodeId, object, float], bool]
"""Decides whether a message from one agent to another is lost."""


def lose_nothing(sender: NodeId, recipient: NodeId, message: object, now_s: float) -> bool:
    """Deliver every message."""
    return False


class LoseFirstReleases:
    """Lose the first release notices sent to member ``b``."""

    def __init__(self, lost: int) -> None:
        self._remaining = lost

    def __call__(self, sender: NodeId, recipient: NodeId, message: object, now_s: float) -> bool:
        if not isinstance(message, Heartbeat) or not message.released or recipient != "b":
            return False
        self._remaining -= 1
        return self._remaining >= 0


class FarewellTests(LeaderCase):
    def start_group(self) -> None:
        self.now_s = 10.0
        self.agents: dict[NodeId, AgentNode] = {NodeId(name): self.agent(name) for name in "abc"}
        self.stopped_s: dict[NodeId, float] = {}
        self.stopping: set[NodeId] = set()
        self.row = row("abc")
        for agent in self.agents.values():
            self.order(agent, self.row, self.now_s)
        self.is_lost: LossRule = lose_nothing
        self.run_for(2.0)

    def run_for(self, duration_s: float) -> None:
        """Tick the agents and deliver their messages; remove each as soon as it may stop."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            for name, agent in list(self.agents.items()):
                agent.on_target_state(TargetState(self.row.fence, "art", True, self.now_s))
                agent.on_tick(self.now_s)
                self.deliver_effects(name, agent)
            for name, agent in list(self.agents.items()):
                if name in self.stopping and agent.may_stop(self.now_s):
                    self.stopped_s[name] = self.now_s
                    del self.agents[name]

    def deliver_effects(self, name: NodeId, agent: AgentNode) -> None:
        for effect in agent.take():
            if not isinstance(effect, Send) or effect.peer.node not in self.agents:
                continue
            recipient = effect.peer.node
            if self.is_lost(name, recipient, effect.message, self.now_s):
                continue
            receiver = self.agents[recipient]
            receiver.on_message(peer(name), Version(0), effect.message, self.now_s)
            if receiver is not agent:
                self.deliver_effects(recipient, receiver)

    def stop(self, *names: str) -> float:
        for name in names or tuple(self.agents):
            self.agents[NodeId(name)].leave(self.now_s)
            self.stopping.add(NodeId(name))
        return self.now_s

    def assert_all_stopped(self, since_s: float, max_s: float = MAX_STOP_S) -> None:
        self.assertEqual({"a", "b", "c"}, set(self.stopped_s))
        self.assertLessEqual(max(self.stopped_s.values()) - since_s, max_s)

    def test_all_stop_when_no_message_is_lost(self) -> None:
        self.start_group()
        since_s = self.stop()
        self.run_for(RUN_S)
        self.assert_all_stopped(since_s)

    def test_all_stop_when_the_first_release_notices_are_lost(self) -> None:
        for lost in range(1, 4):
            self.start_group()
            self.is_lost = LoseFirstReleases(lost)
            since_s = self.stop()
            self.run_for(RUN_S)
            self.assert_all_stopped(since_s, MAX_STOP_S + lost)

    def test_a_member_asked_to_stop_after_its_leader_stopped_stops(self) -> None:
        self.start_group()
        self.stop("a")
        self.run_for(2.0)
        self.assertIn("a", self.stopped_s)
        since_s = self.stop("b", "c")
        self.run_for(RUN_S)
        self.assert_all_stopped(since_s)

    def test_members_that_adopt_a_later_step_after_the_notice_stop(self) -> None:
        for after_s in (0.3, 0.6, 0.85, 0.95, 1.1):
            self.start_group()
            since_s = self.stop()
            self.run_for(after_s)
            draining = replace(self.row, step=1, draining=True)
            for agent in self.agents.values():
                self.order(agent, draining, self.now_s)
            self.run_for(RUN_S)
            self.assert_all_stopped(since_s)

    def test_members_that_adopt_the_later_step_after_their_leader_stop(self) -> None:
        for after_s in (0.8, 0.85, 0.9, 0.95):
            for later_s in (0.05, 0.1, 0.2):
                self.start_group()
                since_s = self.stop()
                self.run_for(after_s)
                draining = replace(self.row, step=1, draining=True)
                self.order(self.agents[NodeId("a")], draining, self.now_s)
                self.run_for(later_s)
                for agent in self.agents.values():
                    self.order(agent, draining, self.now_s)
                self.run_for(RUN_S)
                self.assert_all_stopped(since_s)

    def test_a_leader_does_not_wait_for_a_lost_member(self) -> None:
        self.start_group()
        del self.agents[NodeId("c")]
        since_s = self.stop("a", "b")
        self.run_for(RUN_S)
        self.assertLessEqual(max(self.stopped_s.values()) - since_s, 2 * MAX_STOP_S)
