# SPDX-License-Identifier: Apache-2.0
from ochreway_core.attemptid import AttemptId
from ochreway_core.effects import OrderTarget, Send
from ochreway_core.ids import Epoch, Incarnation, NodeId, Version
from ochreway_core.messages import Dismiss, Grant, GrantRefusal, Order, Release
from ochreway_core.reason import Reason
from ochreway_core.timing import Timing
from ochreway_nodes.targetstate import TargetState
from tests.nodes.leadercase import DOMAIN, LeaderCase, peer, row

TTL_S = Timing().grant_ttl_s


class MembershipTests(LeaderCase):
    def test_gate_opens_with_every_grant_and_closes_when_one_lapses(self) -> None:
        agent, _ = self.leader()
        self.assertEqual(Reason.NONE, agent.membership.closed_because(10.1))
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(10.0 + TTL_S))

    def test_grant_counts_from_when_the_heartbeat_was_sent(self) -> None:
        agent, group_row = self.agent("a"), row("abc")
        self.order(agent, group_row)
        agent.on_target_state(TargetState(group_row.fence, "art", True, 10.0))
        agent.on_tick(10.0)
        for name in "bc":
            self.deliver(agent, Grant(group_row.group, group_row.epoch, 1, True, False), 11.5, name)
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(12.5))

    def test_member_that_is_loading_keeps_the_gate_closed(self) -> None:
        agent, group_row = self.leader()
        self.deliver(agent, Grant(group_row.group, group_row.epoch, 1, False, False), 10.1, "b")
        self.assertEqual(Reason.GROUP_LOADING, agent.membership.closed_because(10.2))

    def test_member_grants_and_a_stranger_does_not(self) -> None:
        agent, group_row = self.agent("b"), row("abc")
        answers = self.deliver(agent, self.heartbeat(group_row, with_row=True), 10.0, "a")
        self.assertIsInstance(answers[-1], Grant)
        stranger = self.deliver(
            self.agent("z"), self.heartbeat(group_row, with_row=True), 10.0, "a"
        )
        self.assertIsInstance(stranger[-1], GrantRefusal)

    def test_older_epoch_is_refused_once_a_newer_is_known(self) -> None:
        agent, group_row = self.agent("b"), row("abc", 5)
        self.deliver(agent, self.heartbeat(group_row, with_row=True), 10.0, "a")
        self.order(agent, row("dbe", 6, "h"), 10.1)
        refusal = self.deliver(agent, self.heartbeat(group_row, 2), 10.2, "a")[-1]
        assert isinstance(refusal, GrantRefusal)
        self.assertEqual(Reason.STALE_EPOCH, refusal.reason)

    def test_target_is_ordered_only_after_the_former_grant_has_lapsed(self) -> None:
        agent, group_row = self.agent("b"), row("abc", 5)
        self.deliver(agent, self.heartbeat(group_row, with_row=True), 10.0, "a")
        self.order(agent, row("dbe", 6, "h"), 10.1)
        agent.on_tick(11.0)
        self.assertFalse([effect for effect in agent.take() if isinstance(effect, OrderTarget)])
        agent.on_tick(10.0 + TTL_S + 0.1)
        self.assertTrue([effect for effect in agent.take() if isinstance(effect, OrderTarget)])

    def test_leader_of_a_former_epoch_returns_the_grants(self) -> None:
        agent, _ = self.leader()
        agent.on_message(peer("x"), Version(0), Order(DOMAIN, Epoch(1), row("xab", 9, "h")), 10.5)  # type: ignore[arg-type]
        sends = [effect for effect in agent.take() if isinstance(effect, Send)]
        recipients = {send.peer.node for send in sends if isinstance(send.message, Release)}
        self.assertEqual({"b", "c"}, recipients)

    def test_dismissed_agent_is_in_no_group(self) -> None:
        agent, _ = self.leader()
        self.deliver(agent, Dismiss(DOMAIN, Epoch(4)), 10.1)
        self.assertTrue(agent.membership.leads)
        self.deliver(agent, Dismiss(DOMAIN, Epoch(5)), 10.1)
        self.assertFalse(agent.membership.leads)

    def test_standby_takes_a_lost_members_place_without_the_table(self) -> None:
        agent, group_row = self.leader(standbys="s")
        for tick in range(8):
            self.serve(agent, group_row, 10.5 + tick * 0.9, "cs")
            if agent.membership.row is not group_row:
                break
        new_row = agent.membership.row
        assert new_row is not None
        self.assertEqual(["a", "s", "c"], [member.node for member in new_row.members])
        self.assertEqual((group_row.epoch, 1), (new_row.epoch, new_row.formation))
        self.assertGreater(new_row.fence, group_row.fence)
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(18.0))

    def test_late_grant_does_not_answer_for_a_newer_formation(self) -> None:
        agent, group_row = self.leader(standbys="s")
        old_gate = agent.membership.gate
        assert old_gate is not None
        late = Grant(group_row.group, group_row.epoch, old_gate.sequence, True, False)
        for tick in range(8):
            self.serve(agent, group_row, 10.5 + tick * 0.9, "cs")
        new_gate = agent.membership.gate
        assert new_gate is not None
        self.assertIsNot(old_gate, new_gate)
        self.deliver(agent, late, 18.0, "s")
        self.assertIn("s", new_gate.missing(18.0 + TTL_S))

    def test_restarted_leader_that_lost_a_formation_makes_a_newer_one(self) -> None:
        agent, group_row = self.leader()
        refusal = GrantRefusal(group_row.group, group_row.epoch, 1, Reason.NO_GROUP, 0.0, 3)
        self.deliver(agent, refusal, 10.2, "b")
        assert agent.membership.row is not None
        self.assertEqual(4, agent.membership.row.formation)


class RepairTimeTests(LeaderCase):
    """How soon a group closes when its target is lost, and serves again when it is back."""

    def test_a_member_notifies_its_leader_at_once_when_its_target_is_ready(self) -> None:
        """Guard against groups that stay closed for up to a heartbeat after their last load."""
        agent, group_row = self.agent("b"), row("abc")
        agent.on_target_state(TargetState(group_row.fence, "art", False, 10.0))
        first = self.deliver(agent, self.heartbeat(group_row, 7, with_row=True), 10.0, "a")[-1]
        agent.on_target_state(TargetState(group_row.fence, "art", True, 10.2))
        agent.on_tick(10.2)
        messages = [effect.message for effect in agent.take() if isinstance(effect, Send)]
        self.assertEqual([Grant(group_row.group, group_row.epoch, 7, True, False)], messages)
        assert isinstance(first, Grant)
        self.assertFalse(first.ready)

    def test_a_repeated_grant_lasts_no_longer(self) -> None:
        agent, group_row = self.leader()
        gate = agent.membership.gate
        assert gate is not None
        self.deliver(
            agent, Grant(group_row.group, group_row.epoch, gate.sequence, False, False), 11.9, "b"
        )
        self.deliver(
            agent, Grant(group_row.group, group_row.epoch, gate.sequence, True, False), 12.0, "b"
        )
        self.assertEqual(Reason.NONE, agent.membership.closed_because(12.0))
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(10.0 + TTL_S))

    def test_a_leader_counts_its_own_target_between_heartbeats(self) -> None:
        agent, group_row = self.leader()
        agent.on_target_state(TargetState(group_row.fence, "art", False, 10.1))
        agent.on_tick(10.1)
        self.assertEqual(Reason.GROUP_LOADING, agent.membership.closed_because(10.1))
        agent.on_target_state(TargetState(group_row.fence, "art", True, 10.3))
        agent.on_tick(10.3)
        self.assertEqual(Reason.NONE, agent.membership.closed_because(10.3))

    def test_an_unreachable_target_closes_the_gate_until_it_answers(self) -> None:
        """Guard against requests handed for two seconds to a target whose process has ended."""
        for started, ended in ((False, False), (True, True)):
            agent, group_row = self.leader()
            agent.on_target_failed(AttemptId(NodeId("e"), Incarnation(1), 1), started, 10.1, ended)
            agent.on_tick(10.1)
            self.assertEqual(Reason.GROUP_LOADING, agent.membership.closed_because(10.1))
            agent.on_target_state(TargetState(group_row.fence, "art", True, 10.2))
            agent.on_tick(10.2)
            self.assertEqual(Reason.NONE, agent.membership.closed_because(10.2))

    def test_an_empty_target_loads_while_its_agent_may_not_grant_yet(self) -> None:
        """Guard against loads that begin only once any earlier grant must have expired."""
        for artifact, epoch, due in (("", 0, True), ("other", 3, False)):
            agent = self.agent("b")
            self.order(agent, row("abc"), 0.5)
            agent.on_target_state(TargetState(Epoch(epoch), artifact, bool(artifact), 0.6))
            agent.on_tick(0.6)
            orders = [effect for effect in agent.take() if isinstance(effect, OrderTarget)]
            self.assertEqual(due, bool(orders))
            self.assertEqual(due, bool(orders and agent.may_order(orders[0], 0.7)))

    def test_a_target_that_is_back_is_ordered_at_once(self) -> None:
        agent, group_row = self.leader()
        agent.on_target_failed(AttemptId(NodeId("e"), Incarnation(1), 1), True, 10.1, True)
        agent.on_tick(10.1)
        agent.on_target_state(TargetState(seen_s=10.5))
        agent.take()
        agent.on_tick(10.5)
        self.assertTrue([effect for effect in agent.take() if isinstance(effect, OrderTarget)])

    def test_the_next_heartbeat_is_sent_when_a_refused_grant_can_be_given(self) -> None:
        agent, group_row = self.leader()
        gate = agent.membership.gate
        assert gate is not None
        wait_s = Timing().heartbeat_s / 2
        refusal = GrantRefusal(
            group_row.group, group_row.epoch, gate.sequence, Reason.GROUP_INCOMPLETE, wait_s, 0
        )
        self.deliver(agent, refusal, 10.1, "b")
        before = gate.sequence
        agent.on_tick(10.1 + wait_s / 2)
        self.assertEqual(before, gate.sequence)
        agent.on_tick(10.1 + wait_s + 0.01)
        self.assertEqual(before + 1, gate.sequence)
