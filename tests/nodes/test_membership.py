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
        agent, given = self.agent("a"), row("abc")
        self.order(agent, given)
        agent.on_target_state(TargetState(given.fence, "art", True, 10.0))
        agent.on_tick(10.0)
        for name in "bc":
            self.tell(agent, Grant(given.group, given.epoch, 1, True, False), 11.5, name)
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(12.5))

    def test_member_that_is_loading_keeps_the_gate_closed(self) -> None:
        agent, given = self.leader()
        self.tell(agent, Grant(given.group, given.epoch, 1, False, False), 10.1, "b")
        self.assertEqual(Reason.GROUP_LOADING, agent.membership.closed_because(10.2))

    def test_member_grants_and_a_stranger_does_not(self) -> None:
        agent, given = self.agent("b"), row("abc")
        answers = self.tell(agent, self.beat(given, riding=True), 10.0, "a")
        self.assertIsInstance(answers[-1], Grant)
        stranger = self.tell(self.agent("z"), self.beat(given, riding=True), 10.0, "a")
        self.assertIsInstance(stranger[-1], GrantRefusal)

    def test_older_epoch_is_refused_once_a_newer_is_known(self) -> None:
        agent, given = self.agent("b"), row("abc", 5)
        self.tell(agent, self.beat(given, riding=True), 10.0, "a")
        self.order(agent, row("dbe", 6, "h"), 10.1)
        refusal = self.tell(agent, self.beat(given, 2), 10.2, "a")[-1]
        assert isinstance(refusal, GrantRefusal)
        self.assertEqual(Reason.STALE_EPOCH, refusal.reason)

    def test_target_is_ordered_only_after_the_former_grant_has_lapsed(self) -> None:
        agent, given = self.agent("b"), row("abc", 5)
        self.tell(agent, self.beat(given, riding=True), 10.0, "a")
        self.order(agent, row("dbe", 6, "h"), 10.1)
        agent.on_tick(11.0)
        self.assertFalse([each for each in agent.take() if isinstance(each, OrderTarget)])
        agent.on_tick(10.0 + TTL_S + 0.1)
        self.assertTrue([each for each in agent.take() if isinstance(each, OrderTarget)])

    def test_leader_of_a_former_epoch_returns_the_grants(self) -> None:
        agent, _ = self.leader()
        agent.on_message(peer("x"), Version(0), Order(DOMAIN, Epoch(1), row("xab", 9, "h")), 10.5)  # type: ignore[arg-type]
        sent = [each for each in agent.take() if isinstance(each, Send)]
        released = {each.peer.node for each in sent if isinstance(each.message, Release)}
        self.assertEqual({"b", "c"}, released)

    def test_dismissed_agent_is_in_no_group(self) -> None:
        agent, _ = self.leader()
        self.tell(agent, Dismiss(DOMAIN, Epoch(4)), 10.1)
        self.assertTrue(agent.membership.leads)
        self.tell(agent, Dismiss(DOMAIN, Epoch(5)), 10.1)
        self.assertFalse(agent.membership.leads)

    def test_standby_takes_a_lost_members_place_without_the_table(self) -> None:
        agent, given = self.leader(standbys="s")
        for tick in range(8):
            self.serve(agent, given, 10.5 + tick * 0.9, "cs")
            if agent.membership.row is not given:
                break
        formed = agent.membership.row
        assert formed is not None
        self.assertEqual(["a", "s", "c"], [each.node for each in formed.members])
        self.assertEqual((given.epoch, 1), (formed.epoch, formed.formation))
        self.assertGreater(formed.fence, given.fence)
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(18.0))

    def test_late_grant_does_not_answer_for_a_newer_formation(self) -> None:
        agent, given = self.leader(standbys="s")
        old = agent.membership.gate
        assert old is not None
        late = Grant(given.group, given.epoch, old.sequence, True, False)
        for tick in range(8):
            self.serve(agent, given, 10.5 + tick * 0.9, "cs")
        fresh = agent.membership.gate
        assert fresh is not None
        self.assertIsNot(old, fresh)
        self.tell(agent, late, 18.0, "s")
        self.assertIn("s", fresh.missing(18.0 + TTL_S))

    def test_leader_that_forgot_a_formation_makes_one_above_it(self) -> None:
        agent, given = self.leader()
        refusal = GrantRefusal(given.group, given.epoch, 1, Reason.NO_GROUP, 0.0, 3)
        self.tell(agent, refusal, 10.2, "b")
        assert agent.membership.row is not None
        self.assertEqual(4, agent.membership.row.formation)


class RepairTimeTests(LeaderCase):
    """How soon a group closes when a target is gone, and serves again when it is back."""

    def test_a_member_tells_its_leader_at_once_that_its_target_is_ready(self) -> None:
        """Guards against groups that stay closed up to a heartbeat after their last load."""
        agent, given = self.agent("b"), row("abc")
        agent.on_target_state(TargetState(given.fence, "art", False, 10.0))
        first = self.tell(agent, self.beat(given, 7, riding=True), 10.0, "a")[-1]
        agent.on_target_state(TargetState(given.fence, "art", True, 10.2))
        agent.on_tick(10.2)
        told = [each.message for each in agent.take() if isinstance(each, Send)]
        self.assertEqual([Grant(given.group, given.epoch, 7, True, False)], told)
        assert isinstance(first, Grant)
        self.assertFalse(first.ready)

    def test_a_grant_told_again_lasts_no_longer(self) -> None:
        agent, given = self.leader()
        gate = agent.membership.gate
        assert gate is not None
        self.tell(agent, Grant(given.group, given.epoch, gate.sequence, False, False), 11.9, "b")
        self.tell(agent, Grant(given.group, given.epoch, gate.sequence, True, False), 12.0, "b")
        self.assertEqual(Reason.NONE, agent.membership.closed_because(12.0))
        self.assertEqual(Reason.GROUP_INCOMPLETE, agent.membership.closed_because(10.0 + TTL_S))

    def test_a_leader_counts_its_own_target_between_heartbeats(self) -> None:
        agent, given = self.leader()
        agent.on_target_state(TargetState(given.fence, "art", False, 10.1))
        agent.on_tick(10.1)
        self.assertEqual(Reason.GROUP_LOADING, agent.membership.closed_because(10.1))
        agent.on_target_state(TargetState(given.fence, "art", True, 10.3))
        agent.on_tick(10.3)
        self.assertEqual(Reason.NONE, agent.membership.closed_because(10.3))

    def test_a_target_where_nobody_listens_closes_the_gate_until_it_answers(self) -> None:
        """Guards against requests handed for two seconds to a target whose process has ended."""
        for started, ended in ((False, False), (True, True)):
            agent, given = self.leader()
            agent.on_target_failed(AttemptId(NodeId("e"), Incarnation(1), 1), started, 10.1, ended)
            agent.on_tick(10.1)
            self.assertEqual(Reason.GROUP_LOADING, agent.membership.closed_because(10.1))
            agent.on_target_state(TargetState(given.fence, "art", True, 10.2))
            agent.on_tick(10.2)
            self.assertEqual(Reason.NONE, agent.membership.closed_because(10.2))

    def test_a_target_that_has_nothing_loads_while_its_agent_may_not_grant_yet(self) -> None:
        """Guards against loads that begin only after the time for which grants may stand."""
        for artifact, epoch, due in (("", 0, True), ("other", 3, False)):
            agent = self.agent("b")
            self.order(agent, row("abc"), 0.5)
            agent.on_target_state(TargetState(Epoch(epoch), artifact, bool(artifact), 0.6))
            agent.on_tick(0.6)
            ordered = [each for each in agent.take() if isinstance(each, OrderTarget)]
            self.assertEqual(due, bool(ordered))
            self.assertEqual(due, bool(ordered and agent.may_order(ordered[0], 0.7)))

    def test_a_target_that_is_back_is_ordered_at_once(self) -> None:
        agent, given = self.leader()
        agent.on_target_failed(AttemptId(NodeId("e"), Incarnation(1), 1), True, 10.1, True)
        agent.on_tick(10.1)
        agent.on_target_state(TargetState(seen_s=10.5))
        agent.take()
        agent.on_tick(10.5)
        self.assertTrue([each for each in agent.take() if isinstance(each, OrderTarget)])

    def test_a_heartbeat_comes_when_a_refused_grant_can_be_given(self) -> None:
        agent, given = self.leader()
        gate = agent.membership.gate
        assert gate is not None
        wait_s = Timing().heartbeat_s / 2
        refusal = GrantRefusal(
            given.group, given.epoch, gate.sequence, Reason.GROUP_INCOMPLETE, wait_s, 0
        )
        self.tell(agent, refusal, 10.1, "b")
        before = gate.sequence
        agent.on_tick(10.1 + wait_s / 2)
        self.assertEqual(before, gate.sequence)
        agent.on_tick(10.1 + wait_s + 0.01)
        self.assertEqual(before + 1, gate.sequence)
