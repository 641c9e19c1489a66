# SPDX-License-Identifier: Apache-2.0
"""Checks of the invariants against what happened in the simulated world."""

from dataclasses import dataclass, field

from ochreway_core import invariants
from ochreway_core.codec import decode
from ochreway_core.effects import HandOver
from ochreway_core.ids import NO_EPOCH, NodeId
from ochreway_core.invariants import Invariant
from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow, InstanceRow
from ochreway_core.targetnotice import TargetNotice
from ochreway_nodes.agent import AgentNode
from ochreway_standins.soak.backofftruth import BackoffTruth
from ochreway_standins.soak.callers import Callers
from ochreway_standins.soak.crashtruth import CrashTruth
from ochreway_standins.soak.halltruth import HallTruth
from ochreway_standins.soak.limittruth import LimitTruth
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.simtarget import expected_answer, fatal_cause
from ochreway_standins.soak.world import World, hall_of

AGENT_LEAVE_GRACE_S = 2.0
CHECK_SLACK_S = 0.5
MAX_LIST_LAG_S = 6.0
LIST_LEAVE_GRACE_S = MAX_LIST_LAG_S + 4.0
CRASH_REASONS = frozenset(
    {Reason.ENDS_TARGETS, Reason.MAY_END_TARGETS, Reason.PROMPT_PART_ENDS_TARGETS}
)
MAX_REFUSED_SHARE = 0.5
"""Share of sound prompts that may be refused as ending their targets."""
MIN_SOUND = 20
"""Sound prompts in a run from which on the share is checked."""


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """The incarnation of a target that announced its leaving, and when new work must stop."""

    incarnation: int
    from_s: float


@dataclass(slots=True)
class Truth:
    """Collect the violations of one run."""

    world: World
    callers: Callers
    violations: list[str] = field(default_factory=list)
    quiet_from_s: dict[NodeId, float] = field(default_factory=dict)
    leaving_notices: dict[NodeId, LeavingNotice] = field(default_factory=dict)
    halls: HallTruth = field(init=False)
    crashes: CrashTruth = field(init=False)
    backoffs: BackoffTruth = field(default_factory=BackoffTruth)
    limits: LimitTruth = field(default_factory=LimitTruth)
    _versions: dict[tuple[NodeId, float], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.halls = HallTruth(self.world)
        self.crashes = CrashTruth(self.world)

    def attach(self) -> None:
        """Install the hooks in the world and receive reports of invariants from the nodes."""
        self.world.on_hand_over = self._on_hand_over
        self.world.on_version_applied = self._on_applied
        self.world.on_target_contact = self._on_arrival
        self.world.on_notice = self._on_notice
        invariants.set_reporter(self._on_invariant_report)

    def _on_invariant_report(self, invariant: Invariant, detail: str) -> None:
        self.violate(invariant, f"reported by a node: {detail}")

    def violate(self, invariant: Invariant, detail: str) -> None:
        """Record a violation."""
        self.violations.append(f"{self.world.clock.now_s:.3f} {invariant.value}: {detail}")

    def _on_arrival(self, process: Process) -> None:
        for detail in self.backoffs.check_arrival(process, self.world.clock.now_s):
            self.violate(Invariant.BACKOFF_QUIET, detail)
        limit_per_s = self.world.targets[process.peer.node].limit_per_s
        for detail in self.limits.check_arrival(process, limit_per_s, self.world.clock.now_s):
            self.violate(Invariant.LIMIT_KEPT, detail)

    def _on_notice(self, process: Process, notice: TargetNotice) -> None:
        now_s = self.world.clock.now_s
        if notice.backoff_s is not None:
            self.backoffs.on_backoff_requested(process, notice.backoff_s, now_s)
        if notice.leaving:
            self._record_leaving_notice(process.peer.node, now_s)

    def _record_leaving_notice(self, node: NodeId, now_s: float) -> None:
        """Record that a target announced its leaving; it holds for this incarnation only."""
        incarnation = self.world.targets[node].incarnation
        previous = self.leaving_notices.get(node)
        if previous is None or previous.incarnation != incarnation:
            self.leaving_notices[node] = LeavingNotice(incarnation, now_s + AGENT_LEAVE_GRACE_S)

    def _on_hand_over(self, process: Process, order: HandOver) -> None:
        node = process.node
        assert isinstance(node, AgentNode)
        for detail in self.crashes.check_hand_over(process.peer.node, order.submit):
            self.violate(Invariant.FATAL_QUIET, detail)
        row = node.membership.row
        if row is None:
            self.violate(Invariant.GROUP_COMPLETE, f"{process.peer.node} has no group")
            return
        for peer in row.members:
            self._check_member(process, row, peer.node)
            self._check_quiet(process, row, peer.node)
            self._check_drained(order, row, peer.node)

    def _check_member(self, leader: Process, row: GroupRow, node: NodeId) -> None:
        member = self.world.processes[node]
        now_s, ttl_s = self.world.clock.now_s, self.world.shape.timing.grant_ttl_s
        if not member.running:
            silent_s = now_s - (member.silent_since_s or now_s)
            if silent_s > ttl_s:
                detail = f"{row.group}: {node} silent for {silent_s:.2f} s"
                self.violate(Invariant.GROUP_COMPLETE, detail)
            return
        agent = member.node
        assert isinstance(agent, AgentNode)
        granted_epoch = agent.membership.grant.epoch
        restarted = now_s - member.born_s < ttl_s
        if restarted and granted_epoch in (NO_EPOCH, row.epoch):
            # After a restart it no longer knows its grants, and does not grant to others yet.
            return
        if not agent.membership.grant.is_fresh(row.epoch, member.local_s(now_s)):
            detail = f"{row.group}@{row.epoch}: {node} grants epoch {granted_epoch}"
            other = granted_epoch != row.epoch
            self.violate(Invariant.ONE_GROUP if other else Invariant.GROUP_COMPLETE, detail)

    def _check_quiet(self, leader: Process, row: GroupRow, node: NodeId) -> None:
        quiet_s = self._quiet_from_s(node)
        if quiet_s is None:
            return
        if not self._can_notify_leader(node, leader.peer.node):
            # The leader then learns of it only when the grant lapses.
            quiet_s += self.world.shape.timing.grant_ttl_s - AGENT_LEAVE_GRACE_S + CHECK_SLACK_S
        if self.world.clock.now_s > quiet_s:
            self.violate(Invariant.LEAVING_QUIET, f"{row.group}: {node} is leaving")

    def _quiet_from_s(self, node: NodeId) -> float | None:
        """Return when an instance must stop getting new work, if it or its target is leaving."""
        leaving_notice = self.leaving_notices.get(node)
        is_current = (
            leaving_notice is not None
            and leaving_notice.incarnation == self.world.targets[node].incarnation
        )
        times_s = [
            self.quiet_from_s.get(node),
            leaving_notice.from_s if leaving_notice and is_current else None,
        ]
        return min((each for each in times_s if each is not None), default=None)

    def _check_drained(self, order: HandOver, row: GroupRow, node: NodeId) -> None:
        """Check that no entry sends requests to a hall that it has long known to be drained."""
        sent = self.callers.sent_requests.get(order.submit.request)
        if sent is None:
            return
        # An update that has just arrived may have restored the hall.
        self.halls.observe()
        entry = order.submit.attempt.entry
        known_s = self.halls.known_for_s(entry, hall_of(node), sent.sent_s)
        if known_s > self.world.shape.timing.hall_drain_s + CHECK_SLACK_S:
            detail = f"{row.group}: {node} is in a hall drained for {known_s:.1f} s at {entry}"
            self.violate(Invariant.DRAINED_QUIET, detail)

    def _can_notify_leader(self, node: NodeId, leader: NodeId) -> bool:
        network = self.world.network
        cut = network.is_cut(node, leader) or network.is_cut(leader, node)
        return self.world.processes[node].running and not cut

    def _on_applied(self, process: Process) -> None:
        key = (process.peer.node, process.born_s)
        version = process.node.version
        if version < self._versions.get(key, 0):
            self.violate(
                Invariant.VERSION_FORWARD, f"{process.peer.node} reverted to version {version}"
            )
        self._versions[key] = version

    def check_table(self) -> None:
        """Check that the table assigns each instance to at most one group."""
        self.halls.observe()
        self.crashes.observe()
        groups: dict[str, str] = {}
        rows = self.world.platform.table.rows
        for key, row in rows.items():
            if key.startswith("group/"):
                group = decode(GroupRow, row.content)
                for peer in group.all_peers:
                    if peer.node in groups:
                        other = groups[peer.node]
                        detail = f"{peer.node} in {other} and {group.group}"
                        self.violate(Invariant.ONE_GROUP, detail)
                    groups[peer.node] = group.group
        for key, row in rows.items():
            if key.startswith("instance/"):
                instance = decode(InstanceRow, row.content)
                if groups.get(instance.node) != instance.group:
                    self.violate(Invariant.ONE_GROUP, f"{instance.node}: rows disagree")

    def _check_sound(self) -> None:
        """Check that sound prompts are not refused for a block that others share with them."""
        sound = [
            sent
            for sent in self.callers.sent_requests.values()
            if sent.request.blocks and fatal_cause(sent.request) is None
        ]
        refused = [sent for sent in sound if sent.finish and sent.finish.reason in CRASH_REASONS]
        if len(sound) >= MIN_SOUND and len(refused) > MAX_REFUSED_SHARE * len(sound):
            detail = f"{len(refused)} of {len(sound)} sound prompts were refused"
            self.violate(Invariant.SOUND_SERVED, detail)

    def check_answers(self) -> None:
        """Check the outcome of every request against what the targets ran."""
        self._check_sound()
        run_counts: dict[str, int] = {}
        for execution in self.world.executions:
            run_counts[execution.request] = run_counts.get(execution.request, 0) + 1
        run_counts_by_key: dict[str, int] = {}
        for sent in self.callers.sent_requests.values():
            request = sent.request
            run_count = run_counts.get(request.request, 0)
            if sent.finishes > 1:
                self.violate(Invariant.WHOLE_ANSWER, f"{request.request} ended twice")
            if sent.finish is not None:
                self._check_outcome(
                    sent.finish.outcome,
                    sent.answer,
                    request.request,
                    run_count,
                    request.max_tokens,
                )
            if not request.repeatable:
                name = str(request.key or request.request)
                run_counts_by_key[name] = run_counts_by_key.get(name, 0) + run_count
        for name, run_count in run_counts_by_key.items():
            if run_count > 1:
                self.violate(Invariant.AT_MOST_ONCE, f"{name} ran {run_count} times")

    def _check_outcome(
        self, outcome: Outcome, answer: bytearray, request: str, run_count: int, pieces: int
    ) -> None:
        expected = expected_answer(request, pieces)
        if outcome is Outcome.ANSWERED and bytes(answer) != expected:
            self.violate(Invariant.WHOLE_ANSWER, f"{request} was given {bytes(answer)[:60]!r}")
        if not expected.startswith(bytes(answer)):
            self.violate(Invariant.WHOLE_ANSWER, f"{request} was given a stray piece")
        if outcome is Outcome.NOT_RUN and run_count:
            self.violate(Invariant.NOT_RUN_TRUE, f"{request} ran {run_count} times")


__all__ = ["AGENT_LEAVE_GRACE_S", "LIST_LEAVE_GRACE_S", "Truth"]
