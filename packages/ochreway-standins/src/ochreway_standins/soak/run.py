# SPDX-License-Identifier: Apache-2.0
"""One run: setup, faults, recovery, and the checks of safety and progress."""

import hashlib
from dataclasses import dataclass
from functools import partial

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.entry import EntryNode
from ochreway_standins.soak.callers import Callers
from ochreway_standins.soak.faults import FAULTS, Faults
from ochreway_standins.soak.operator import Operator, bundle_body
from ochreway_standins.soak.simplatform import Mode
from ochreway_standins.soak.truth import Truth
from ochreway_standins.soak.world import DOMAIN, Shape, World

ROLL_AT_S = 3.0
FAULTS_FROM_S = 12.0
FAULTS_UNTIL_S = 36.0
HEAL_AT_S = 50.0
RECOVERED_FROM_S = 59.0
REQUESTS_UNTIL_S = 65.0
RECOVERY_TIMEOUT_S = 25.0
TABLE_CHECK_INTERVAL_S = 0.5
MEAN_REQUEST_INTERVAL_S = 0.12
FAULT_PAIRS = (1, 4)
MIN_LATE_ANSWERED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run."""

    seed: int
    faults: int
    requests: int
    answered: int
    violations: tuple[str, ...]
    trace_digest: str


class Run:
    """Build a world from a seed, run it and check it."""

    def __init__(
        self,
        seed: int,
        kinds: list[str] | None = None,
        pairs: int | None = None,
        shape: Shape | None = None,
    ) -> None:
        self.seed = seed
        self.world = World(seed, shape or Shape())
        self.callers = Callers(self.world)
        self.truth = Truth(self.world, self.callers)
        self.faults = Faults(self.world, self.callers, self.truth)
        self._kinds = kinds or list(FAULTS)
        self._pairs = pairs if pairs is not None else self.world.random.randint(*FAULT_PAIRS)

    def go(self) -> RunResult:
        """Run to the end and return the result."""
        world, clock = self.world, self.world.clock
        self.truth.attach()
        clock.at(ROLL_AT_S, self._first_roll)
        clock.at(
            FAULTS_FROM_S,
            partial(self.callers.send_until, REQUESTS_UNTIL_S, MEAN_REQUEST_INTERVAL_S),
        )
        self.faults.draw(self._kinds, self._pairs, FAULTS_FROM_S, FAULTS_UNTIL_S)
        clock.at(TABLE_CHECK_INTERVAL_S, self._check_table)
        clock.at(HEAL_AT_S, self._heal)
        clock.run_until(HEAL_AT_S + RECOVERY_TIMEOUT_S)
        self.truth.check_answers()
        self._check_progress()
        return self._result(world)

    def _result(self, world: World) -> RunResult:
        finishes = [each.finish for each in self.callers.sent_requests.values() if each.finish]
        answered = sum(each.outcome is Outcome.ANSWERED for each in finishes)
        return RunResult(
            seed=self.seed,
            faults=self.faults.count,
            requests=len(self.callers.sent_requests),
            answered=answered,
            violations=tuple(self.truth.violations),
            trace_digest=hashlib.sha256("\n".join(world.trace).encode()).hexdigest(),
        )

    def _first_roll(self) -> None:
        shape = self.world.shape
        standbys = self.seed % 2
        body = bundle_body(0, shape.engines, shape.services, standbys=standbys)
        Operator(self.world, "ann").roll(body, lambda version: None)

    def _check_table(self) -> None:
        self.truth.check_table()
        self.world.clock.after(TABLE_CHECK_INTERVAL_S, self._check_table)

    def _heal(self) -> None:
        self.world.platform.mode = Mode.UP
        self.faults.halls.set_drained()
        self.world.network.heal_all()
        self.world.next_hand_over_pause_s = lambda: 0.0
        self.world.around_hand_over = lambda node, moment: None
        for process in self.world.processes.values():
            if process.paused:
                self.world.wake(process.peer.node)
        for target in self.world.targets.values():
            target.broken = False
            target.busy_until_s = 0.0

    def _check_progress(self) -> None:
        rows = [row for row in self.world.platform.table.rows if row.startswith(f"group/{DOMAIN}/")]
        leaders = {
            agent.membership.row.group: agent
            for agent in (each.node for each in self.world.agents() if each.running)
            if isinstance(agent, AgentNode) and agent.membership.leads and agent.membership.row
        }
        for key in rows:
            group = key.rpartition("/")[2]
            agent = leaders.get(group)  # type: ignore[call-overload]
            closed = self._closed_reason(agent)
            if closed is not Reason.NONE:
                self._report_no_progress(f"{group} does not serve: {closed.value}")
        min_groups = 2 + 1
        if len(rows) < min_groups:
            self._report_no_progress(f"{len(rows)} groups, fewer than {min_groups}")
        self._check_requests_ended()
        self._check_versions()
        self._check_halls()

    def _closed_reason(self, agent: AgentNode | None) -> Reason:
        if agent is None:
            return Reason.NO_GROUP
        process = self.world.processes[agent.me.node]
        return agent.membership.closed_because(process.local_s(self.world.clock.now_s))

    def _check_requests_ended(self) -> None:
        for sent in self.callers.unanswered():
            self._report_no_progress(f"{sent.request.request} has not ended")
        late_requests = [
            each for each in self.callers.sent_requests.values() if each.sent_s > RECOVERED_FROM_S
        ]
        answered = sum(
            each.finish is not None and each.finish.outcome is Outcome.ANSWERED
            for each in late_requests
        )
        if answered < len(late_requests) * MIN_LATE_ANSWERED_SHARE:
            self._report_no_progress(
                f"only {answered} of {len(late_requests)} answered after the faults"
            )

    def _check_versions(self) -> None:
        alive = [each for each in self.world.processes.values() if each.running]
        named = [each for each in alive if self._is_named(each.peer.node)]
        versions = {each.node.version for each in named}
        if len(versions) != 1:
            shown = ", ".join(f"{each.peer.node}={each.node.version}" for each in named)
            self._report_no_progress(f"versions differ: {shown}")

    def _check_halls(self) -> None:
        """Check that every entry knows that all halls have been restored."""
        for process in self.world.entries():
            node = process.node
            if process.running and isinstance(node, EntryNode) and node.drains.halls:
                self._report_no_progress(
                    f"{process.peer.node} still considers {sorted(node.drains.halls)} drained"
                )

    def _is_named(self, node: str) -> bool:
        """Return whether every bundle names an instance: the last one may leave some out."""
        kind, _, index = node.partition("-")
        named = {"entry": self.world.shape.entries, "engine": 6, "service": 1}
        return int(index) < named[kind]

    def _report_no_progress(self, detail: str) -> None:
        self.truth.violations.append(f"progress: {detail}")


__all__ = ["Run", "RunResult"]
