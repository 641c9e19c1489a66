# SPDX-License-Identifier: Apache-2.0
from ochreway_core.attemptid import AttemptId
from ochreway_core.chunk import Chunk
from ochreway_core.effects import CancelWork, HandOver
from ochreway_core.ids import Incarnation, NodeId, OrganisationId, RequestId, TargetName, Version
from ochreway_core.messages import Cancel, Credit, Frame, Refusal, Settled, Submit, Withdraw
from ochreway_core.outcome import Outcome
from ochreway_core.priority import Priority
from ochreway_core.reason import Reason
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.agent.serving import ANSWER_WINDOW_BYTES
from tests.nodes.leadercase import LeaderCase, peer

ENTRY = "e"


def attempt(sequence: int) -> AttemptId:
    return AttemptId(NodeId(ENTRY), Incarnation(9), sequence)


class ServingTests(LeaderCase):
    """Attempts at a leader whose gate is open."""

    def submit(self, sequence: int = 1, incarnation: int = 1, **more: object) -> Submit:
        fields: dict[str, object] = {
            "attempt": attempt(sequence),
            "request": RequestId(f"r{sequence}"),
            "version": Version(0),
            "incarnation": Incarnation(incarnation),
            "group": "g",
            "epoch": 5,
            "organisation": OrganisationId("o"),
            "target": TargetName("m"),
            "priority": Priority.NORMAL,
            "expires_in_s": 30.0,
            "prompt_tokens": 10,
            "max_tokens": 10,
            "blocks": (),
            "method": "POST",
            "path": "/",
            "body": b"",
        }
        return Submit(**{**fields, **more})  # type: ignore[arg-type]

    def deliver_from_entry(
        self, agent: AgentNode, message: object, now_s: float = 10.1
    ) -> list[object]:
        agent.on_message(peer(ENTRY), Version(0), message, now_s)
        return [getattr(output, "message", output) for output in agent.take()]

    def effect_types(self, effects: list[object]) -> list[type]:
        return [type(output) for output in effects if type(output).__name__ not in ("Count", "Log")]

    def refusal(self, effects: list[object]) -> Refusal:
        return next(output for output in effects if isinstance(output, Refusal))

    def test_open_gate_hands_over_until_the_first_grant_lapses(self) -> None:
        agent, _ = self.leader()
        order = next(
            e for e in self.deliver_from_entry(agent, self.submit()) if isinstance(e, HandOver)
        )
        self.assertTrue(agent.may_hand_over(order, 10.2))
        self.assertFalse(agent.may_hand_over(order, 13.0))

    def test_missed_hand_over_is_not_run(self) -> None:
        agent, _ = self.leader()
        self.deliver_from_entry(agent, self.submit())
        agent.on_hand_over_missed(attempt(1), 13.0)
        refusal = self.refusal([getattr(e, "message", e) for e in agent.take()])
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.HAND_OVER_LATE), (refusal.outcome, refusal.reason)
        )

    def test_duplicate_submit_runs_once(self) -> None:
        agent, _ = self.leader()
        self.assertIn(HandOver, self.effect_types(self.deliver_from_entry(agent, self.submit())))
        self.assertEqual([], self.effect_types(self.deliver_from_entry(agent, self.submit())))

    def test_submit_for_a_former_incarnation_is_unknown(self) -> None:
        agent, _ = self.leader()
        refusal = self.refusal(self.deliver_from_entry(agent, self.submit(incarnation=7)))
        self.assertEqual(
            (Outcome.UNKNOWN, Reason.AGENT_RESTARTED), (refusal.outcome, refusal.reason)
        )

    def test_attempt_withdrawn_before_it_arrives_never_runs(self) -> None:
        agent, _ = self.leader()
        settled = self.deliver_from_entry(agent, Withdraw(attempt(1), Incarnation(1), 0))[-1]
        self.assertEqual(Settled(attempt(1), Outcome.NOT_RUN, Reason.WITHDRAWN), settled)
        self.assertNotIn(HandOver, self.effect_types(self.deliver_from_entry(agent, self.submit())))

    def test_withdrawal_for_a_former_incarnation_is_unknown(self) -> None:
        agent, _ = self.leader()
        settled = self.deliver_from_entry(agent, Withdraw(attempt(1), Incarnation(7), 0))[-1]
        self.assertEqual(Settled(attempt(1), Outcome.UNKNOWN, Reason.AGENT_RESTARTED), settled)

    def test_running_answer_is_resumed_at_its_offset(self) -> None:
        agent, _ = self.leader()
        self.deliver_from_entry(agent, self.submit())
        agent.on_chunk(attempt(1), Chunk(b"hello ", 1, 200, "t", False), 10.2)
        agent.take()
        frame = self.deliver_from_entry(agent, Withdraw(attempt(1), Incarnation(1), 2))[-1]
        self.assertEqual(Frame(attempt(1), 2, b"llo ", 0, 200, "t", None), frame)
        agent.on_chunk(attempt(1), Chunk(b"you", 1, 200, "t", True), 10.3)
        last = next(
            e for e in (getattr(e, "message", e) for e in agent.take()) if isinstance(e, Frame)
        )
        self.assertEqual((6, 9), (last.offset, last.total))

    def test_complete_answer_can_be_resent_for_a_while(self) -> None:
        agent, _ = self.leader()
        self.deliver_from_entry(agent, self.submit())
        agent.on_chunk(attempt(1), Chunk(b"all", 1, 200, "t", True), 10.2)
        agent.take()
        frame = self.deliver_from_entry(agent, Withdraw(attempt(1), Incarnation(1), 0), 10.5)[-1]
        self.assertEqual(b"all", frame.payload)  # type: ignore[attr-defined]
        agent.on_tick(40.0)
        agent.take()
        settled = self.deliver_from_entry(agent, Withdraw(attempt(1), Incarnation(1), 0), 40.1)[-1]
        self.assertEqual(Settled(attempt(1), Outcome.UNKNOWN, Reason.ANSWER_SHORT), settled)

    def test_cancel_stops_the_targets_work(self) -> None:
        agent, _ = self.leader()
        self.deliver_from_entry(agent, self.submit())
        self.assertIn(
            CancelWork, self.effect_types(self.deliver_from_entry(agent, Cancel(attempt(1))))
        )
        self.assertTrue(agent.serving.drained)

    def test_answer_waits_for_its_caller_within_the_window(self) -> None:
        agent, _ = self.leader()
        self.deliver_from_entry(agent, self.submit())
        agent.on_chunk(attempt(1), Chunk(b"x" * ANSWER_WINDOW_BYTES, 1, 200, "t", False), 10.2)
        self.assertFalse(agent.serving.may_read(attempt(1)))
        self.deliver_from_entry(agent, Credit(attempt(1), 100))
        self.assertTrue(agent.serving.may_read(attempt(1)))

    def test_work_whose_entry_is_gone_frees_its_slot_after_the_deadline(self) -> None:
        agent, _ = self.leader()
        self.deliver_from_entry(agent, self.submit(expires_in_s=5.0))
        agent.on_chunk(attempt(1), Chunk(b"x" * ANSWER_WINDOW_BYTES, 1, 200, "t", False), 10.2)
        agent.on_tick(20.0)
        self.assertIn(CancelWork, self.effect_types(agent.take()))  # type: ignore[arg-type]
        self.assertTrue(agent.serving.drained)
        self.assertTrue(agent.serving.may_read(attempt(1)))

    def test_slots_bound_running_attempts_and_the_queue_bounds_waiting_ones(self) -> None:
        agent, _ = self.leader()
        reasons = []
        for sequence in range(1, 16):
            for effect in self.deliver_from_entry(agent, self.submit(sequence)):
                if isinstance(effect, Refusal):
                    reasons.append(effect.reason)
        self.assertEqual((4, 8), (agent.serving.running, len(agent.serving.queue)))
        self.assertEqual([Reason.QUEUE_FULL] * 3, reasons)
