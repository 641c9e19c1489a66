# SPDX-License-Identifier: Apache-2.0
"""Registry of the faults that runs inject, drawn at random."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from ochreway_core.ids import NodeId
from ochreway_core.invariants import Invariant
from ochreway_core.rows import GroupRow
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.controller.groupchange import FormGroup
from ochreway_nodes.entry import EntryNode
from ochreway_standins.soak.callers import Callers
from ochreway_standins.soak.halloperator import HallOperator
from ochreway_standins.soak.operator import Operator, bundle_body
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.simplatform import Mode
from ochreway_standins.soak.simtarget import FATAL, FATAL_BLOCKS_FROM
from ochreway_standins.soak.truth import (
    AGENT_LEAVE_GRACE_S,
    LIST_LEAVE_GRACE_S,
    MAX_LIST_LAG_S,
    Truth,
)
from ochreway_standins.soak.world import HALL, OTHER_HALL, World

Fault = Callable[["Faults"], None]

FAULTS: dict[str, Fault] = {}
STOP_POLL_INTERVAL_S = 0.2
FATAL_TRIES = 40
"""Number of times that a fatal request is sent: enough for some 20 s."""
MAIN_HALL_SHARE = 0.2
"""Share of drains of the hall that holds most instances; few can then replace them."""
HALL_DRAIN_DURATION_S = (2.0, 14.0)
REQUESTED_BACKOFF_S = (0.6, 4.0)
"""Backoff that a busy target requests; it may request it once or several times."""
LIMITS_PER_S = (0.3, 3.0)
LIMIT_DURATION_S = (4.0, 12.0)
"""How long a target names a limit: some seconds more than the limit may take to be kept."""
LEADER_BUSY_SHARE = 0.7
STOP_TIMEOUT_S = 14.0
REPLACEMENT_DELAY_S = (0.2, 3.0)
"""Short enough that every fault has ended when progress is checked."""


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a kind of fault."""

    def register(kind: Fault) -> Fault:
        FAULTS[name] = kind
        return kind

    return register


class Faults:
    """Inject faults into one world and end each after its duration."""

    def __init__(self, world: World, callers: Callers, truth: Truth) -> None:
        self.world = world
        self.callers = callers
        self.truth = truth
        self.rolls = 1
        self.count = 0
        self.halls = HallOperator(world)
        self.accepted: list[tuple[int, float]] = []

    def draw(self, kinds: list[str], pairs: int, begin_s: float, end_s: float) -> None:
        """Schedule pairs of random faults that occur at about the same time."""
        rng = self.world.random
        for _ in range(pairs):
            when_s = rng.uniform(begin_s, end_s)
            for _ in range(2):
                kind = rng.choice(kinds)
                self.world.clock.at(when_s + rng.uniform(0.0, 0.5), partial(self._begin, kind))

    def _begin(self, kind: str) -> None:
        self.count += 1
        self.world.trace.append(f"{self.world.clock.now_s:.4f} fault {kind}")
        FAULTS[kind](self)

    def draw_duration_s(self, min_s: float = 0.3, max_s: float = 8.0) -> float:
        """Draw the duration of a fault."""
        return self.world.random.uniform(min_s, max_s)

    def pick_process(self, processes: list[Process]) -> NodeId:
        """Draw a process at random."""
        return self.world.random.choice(processes).peer.node

    def pick_leader(self) -> NodeId:
        """Draw the leader of a group, or any agent if no group has a leader."""
        leaders = [
            each
            for each in self.world.agents()
            if isinstance(each.node, AgentNode) and each.node.membership.leads
        ]
        return self.pick_process(leaders or self.world.agents())

    def kill(
        self,
        node: NodeId,
        whole_instance: bool,
        replacement_delay_s: tuple[float, float] = (0.2, 10.0),
    ) -> None:
        """Kill a process and start its replacement after a delay."""
        if not self.world.processes[node].alive:
            return
        self.world.kill(node, whole_instance)
        if node.startswith("entry"):
            self.callers.entry_died(node)
        self.truth.quiet_from_s.pop(node, None)
        self.truth.leaving_notices.pop(node, None)
        self.world.clock.after(
            self.draw_duration_s(*replacement_delay_s), partial(self.world.boot, node)
        )

    def pause(self, node: NodeId) -> None:
        """Freeze a process for a random time."""
        self.world.pause(node)
        self.world.clock.after(self.draw_duration_s(), partial(self.world.wake, node))

    def cut(self, one: NodeId, other: NodeId, both_ways: bool) -> None:
        """Cut a link for a random time."""
        network = self.world.network
        directions = [(one, other), (other, one)] if both_ways else [(one, other)]
        duration_s = self.draw_duration_s()
        for direction in directions:
            network.cut(*direction)
            self.world.clock.after(duration_s, partial(network.heal, *direction))

    def fail_platform(self, mode: Mode, duration_s: float) -> None:
        """Make the platform fail for a given time."""
        self.world.platform.mode = mode
        self.world.clock.after(duration_s, self._platform_up)

    def _platform_up(self) -> None:
        self.world.platform.mode = Mode.UP

    def roll(self, name: str) -> None:
        """Have an operator roll a bundle; every third one has a new model version."""
        self.rolls += 1
        artifact = self.rolls // 3
        services = self.world.random.randint(1, self.world.shape.services)
        engines = self.world.random.randint(6, self.world.shape.engines)
        body = bundle_body(artifact, engines, services, f"# {self.rolls}\n")
        Operator(self.world, f"{name}{self.rolls}").roll(body, partial(self._rolled))

    def _rolled(self, version: int | None) -> None:
        if version is not None:
            self.accepted.append((version, self.world.clock.now_s))

    def stop_agent(self, node: NodeId) -> None:
        """Stop an agent as planned; it exits when it reports that this cuts no work."""
        process = self.world.processes[node]
        agent = process.node
        if not process.alive or not isinstance(agent, AgentNode):
            return
        now_s = self.world.clock.now_s
        if not process.paused:
            self.truth.quiet_from_s[node] = now_s + AGENT_LEAVE_GRACE_S
        self.world.post(process, agent.leave)
        self._poll_stop(process, now_s + STOP_TIMEOUT_S)

    def _poll_stop(self, process: Process, timeout_at_s: float) -> None:
        node = process.peer.node
        agent = process.node
        if not process.alive or self.world.processes[node] is not process:
            return
        now_s = self.world.clock.now_s
        assert isinstance(agent, AgentNode)
        if process.running and agent.may_stop(process.local_s(now_s)):
            self._check_stop(process)
            self.kill(node, True, REPLACEMENT_DELAY_S)
        elif now_s > timeout_at_s:
            self.kill(node, True, REPLACEMENT_DELAY_S)
        else:
            again = partial(self._poll_stop, process, timeout_at_s)
            self.world.clock.after(STOP_POLL_INTERVAL_S, again)

    def _check_stop(self, process: Process) -> None:
        agent = process.node
        assert isinstance(agent, AgentNode)
        node = process.peer.node
        if self.world.targets[node].running:
            self.truth.violate(Invariant.STOP_CUTS_NOTHING, f"{node} stopped with work")
        row = agent.membership.row
        if row is None or row.leader.node == node:
            return
        leader = self.world.processes[row.leader.node]
        assert isinstance(leader.node, AgentNode)
        led = leader.node.membership.row
        # A standby serves nothing, so its exit cuts no work.
        same = leader.alive and led is not None and led.epoch == row.epoch and led.has_member(node)
        if same and self.world.targets[row.leader.node].running:
            self.truth.violate(Invariant.STOP_CUTS_NOTHING, f"{node} left {row.group} early")

    def stop_entry(self, node: NodeId) -> None:
        """Stop an entry as planned."""
        process = self.world.processes[node]
        entry = process.node
        if process.alive and isinstance(entry, EntryNode):
            self.world.post(process, entry.stop)
            self._poll_entry_stop(process)

    def _poll_entry_stop(self, process: Process) -> None:
        entry = process.node
        if not process.alive or not isinstance(entry, EntryNode):
            return
        if process.running and entry.may_stop():
            if len(entry.calls):
                self.truth.violate(Invariant.STOP_CUTS_NOTHING, f"{process.peer.node} has calls")
            self.kill(process.peer.node, whole_instance=False)
        else:
            self.world.clock.after(STOP_POLL_INTERVAL_S, partial(self._poll_entry_stop, process))

    def list_leaving(self, node: NodeId) -> None:
        """Mark an instance as leaving in the platform's list alone; replace it later."""
        platform = self.world.platform
        process = self.world.processes[node]
        if not process.alive:
            return
        platform.listed[node] = replace(platform.listed[node], leaving=True)
        self.truth.quiet_from_s[node] = self.world.clock.now_s + LIST_LEAVE_GRACE_S
        self.world.clock.after(LIST_LEAVE_GRACE_S + 3.0, partial(self.replace, process))

    def replace(self, process: Process) -> None:
        """Kill an instance and start another one in its place, unless this has happened."""
        if process.alive and self.world.processes[process.peer.node] is process:
            self.kill(process.peer.node, True, REPLACEMENT_DELAY_S)


@fault("kill_agent")
def _kill_agent(faults: Faults) -> None:
    faults.kill(faults.pick_process(faults.world.agents()), whole_instance=True)


@fault("kill_agent_process")
def _kill_agent_process(faults: Faults) -> None:
    faults.kill(faults.pick_process(faults.world.agents()), whole_instance=False)


@fault("restart_many")
def _restart_many(faults: Faults) -> None:
    world = faults.world
    for process in world.random.sample(world.agents(), len(world.agents()) * 2 // 3):
        faults.kill(process.peer.node, whole_instance=False, replacement_delay_s=(0.2, 0.6))


Regroup = Callable[["Faults", Process, GroupRow, GroupRow], FormGroup]


def _regroup_at_holder(faults: Faults, regroup: Regroup) -> None:
    """Have the lease holder commit a change to two of its groups that no plan would make."""
    for process in faults.world.entries():
        node = process.node
        if not process.running or not isinstance(node, EntryNode):
            continue
        for controller in node.controllers.values():
            rows = controller.rows
            groups = list(rows.groups.values()) if rows and controller.can_commit else []
            groups = [row for row in groups if len(row.members) > 1]
            if len(groups) > 1:
                change = regroup(faults, process, *faults.world.random.sample(groups, 2))
                faults.world.post(process, partial(controller.commit_change, change))


@fault("regroup")
def _regroup(faults: Faults) -> None:
    """Have the controller move members between serving groups."""
    _regroup_at_holder(faults, _mix_members)


def _mix_members(faults: Faults, process: Process, taker: GroupRow, giver: GroupRow) -> FormGroup:
    pool = [*giver.members, *taker.members]
    members = tuple(faults.world.random.sample(pool, len(taker.members)))
    return FormGroup(taker.group, members, "regroup", (giver.group,))


@fault("take_restarted")
def _take_restarted(faults: Faults) -> None:
    """Restart a member and move it to another group while its old leader is unreachable."""
    _regroup_at_holder(faults, _take_member)


def _take_member(faults: Faults, process: Process, taker: GroupRow, giver: GroupRow) -> FormGroup:
    taken = giver.members[1]
    faults.cut(process.peer.node, giver.leader.node, both_ways=True)
    faults.kill(taken.node, whole_instance=False, replacement_delay_s=(0.1, 0.3))
    return FormGroup(taker.group, (*taker.members[:-1], taken), "taken", (giver.group,))


@fault("pause_holder")
def _pause_holder(faults: Faults) -> None:
    world = faults.world
    for process in world.entries():
        node = process.node
        assert isinstance(node, EntryNode)
        if any(controller.holding for controller in node.controllers.values()):
            world.pause(process.peer.node)
            world.clock.after(
                faults.draw_duration_s(6.5, 12.0), partial(world.wake, process.peer.node)
            )


@fault("kill_leader")
def _kill_leader(faults: Faults) -> None:
    faults.kill(faults.pick_leader(), faults.world.random.random() < 0.5)


@fault("kill_entry")
def _kill_entry(faults: Faults) -> None:
    faults.kill(faults.pick_process(faults.world.entries()), whole_instance=False)


@fault("pause_agent")
def _pause_agent(faults: Faults) -> None:
    faults.pause(faults.pick_process(faults.world.agents()))


@fault("pause_leader")
def _pause_leader(faults: Faults) -> None:
    faults.pause(faults.pick_leader())


@fault("pause_entry")
def _pause_entry(faults: Faults) -> None:
    faults.pause(faults.pick_process(faults.world.entries()))


@fault("pause_in_hand_over")
def _pause_in_hand_over(faults: Faults) -> None:
    world = faults.world
    remaining = [3]

    def pause_s() -> float:
        remaining[0] -= 1
        if remaining[0] < 0:
            world.next_hand_over_pause_s = lambda: 0.0
            return 0.0
        return faults.draw_duration_s(0.5, 4.0)

    world.next_hand_over_pause_s = pause_s


@fault("kill_in_hand_over")
def _kill_in_hand_over(faults: Faults) -> None:
    world = faults.world
    remaining = [3]

    def around(node: NodeId, moment: str) -> None:
        if remaining[0] <= 0 or world.random.random() < 0.5:
            return
        remaining[0] -= 1
        faults.kill(
            node, whole_instance=world.random.random() < 0.3, replacement_delay_s=(0.1, 2.0)
        )

    world.around_hand_over = around


@fault("cut")
def _cut(faults: Faults) -> None:
    processes = list(faults.world.processes.values())
    one, other = faults.world.random.sample(processes, 2)
    faults.cut(one.peer.node, other.peer.node, faults.world.random.random() < 0.5)


@fault("cut_entry_leader")
def _cut_entry_leader(faults: Faults) -> None:
    entry = faults.pick_process(faults.world.entries())
    faults.cut(entry, faults.pick_leader(), faults.world.random.random() < 0.5)


@fault("cut_off")
def _cut_off(faults: Faults) -> None:
    node = faults.pick_process(list(faults.world.processes.values()))
    for other in faults.world.processes:
        if other != node:
            faults.cut(node, other, True)


@fault("disorder")
def _disorder(faults: Faults) -> None:
    network = faults.world.network
    network.disorder = True

    def restore_order() -> None:
        network.disorder = False

    faults.world.clock.after(faults.draw_duration_s(), restore_order)


@fault("table_down")
def _table_down(faults: Faults) -> None:
    faults.fail_platform(Mode.DOWN, faults.draw_duration_s(1.0, 12.0))


@fault("table_slow")
def _table_slow(faults: Faults) -> None:
    faults.fail_platform(Mode.SLOW, faults.draw_duration_s(1.0, 10.0))


@fault("table_lossy")
def _table_lossy(faults: Faults) -> None:
    faults.fail_platform(Mode.LOSSY, faults.draw_duration_s(1.0, 10.0))


@fault("list_lag")
def _list_lag(faults: Faults) -> None:
    platform = faults.world.platform
    platform.list_lag_s = faults.draw_duration_s(2.0, MAX_LIST_LAG_S)

    def catch_up() -> None:
        platform.list_lag_s = 1.0

    faults.world.clock.after(faults.draw_duration_s(), catch_up)


@fault("target_breaks")
def _target_breaks(faults: Faults) -> None:
    target = faults.world.targets[faults.pick_leader()]
    target.broken = True

    def restore_target() -> None:
        target.broken = False

    faults.world.clock.after(faults.draw_duration_s(), restore_target)


@fault("target_busy")
def _target_busy(faults: Faults) -> None:
    """Have a target refuse requests, polls and orders, and request a backoff each time."""
    rng = faults.world.random
    hits_leader = rng.random() < LEADER_BUSY_SHARE
    node = faults.pick_leader() if hits_leader else faults.pick_process(faults.world.agents())
    faults.world.targets[node].turn_away(
        faults.draw_duration_s(), rng.uniform(*REQUESTED_BACKOFF_S)
    )


@fault("target_limited")
def _target_limited(faults: Faults) -> None:
    """Have a target name a rate limit in each of its answers for a while."""
    rng = faults.world.random
    hits_leader = rng.random() < LEADER_BUSY_SHARE
    node = faults.pick_leader() if hits_leader else faults.pick_process(faults.world.agents())
    target = faults.world.targets[node]
    target.limit_per_s = rng.uniform(*LIMITS_PER_S)

    def lift_limit() -> None:
        target.limit_per_s = None

    faults.world.clock.after(rng.uniform(*LIMIT_DURATION_S), lift_limit)


@fault("target_leaves")
def _target_leaves(faults: Faults) -> None:
    """Have a target announce its leaving in its answers alone; replace it later."""
    process = faults.world.processes[faults.pick_process(faults.world.agents())]
    if not process.alive:
        return
    faults.world.targets[process.peer.node].leaving = True
    faults.world.clock.after(LIST_LEAVE_GRACE_S, partial(faults.replace, process))


@fault("target_crash")
def _target_crash(faults: Faults) -> None:
    faults.world.targets[faults.pick_process(faults.world.agents())].crash()


@fault("fatal_request")
def _fatal_request(faults: Faults) -> None:
    """Send a request repeatedly that ends every target that runs it."""
    service = faults.world.random.random() < 0.5
    faults.callers.send_fatal(FATAL + str(faults.count).encode(), service, FATAL_TRIES)


@fault("fatal_block")
def _fatal_block(faults: Faults) -> None:
    """Send different requests whose prompts share a block that ends every target running it."""
    service = faults.world.random.random() < 0.5
    faults.callers.send_fatal_block(FATAL_BLOCKS_FROM + faults.count, service, FATAL_TRIES)


@fault("roll")
def _roll(faults: Faults) -> None:
    faults.roll("ann")


@fault("race")
def _race(faults: Faults) -> None:
    faults.roll("ann")
    faults.roll("cy")


@fault("roll_then_down")
def _roll_then_down(faults: Faults) -> None:
    faults.roll("ann")
    duration_s = faults.draw_duration_s(1.0, 8.0)
    faults.world.clock.after(0.1, partial(faults.fail_platform, Mode.DOWN, duration_s))


@fault("stop_agent")
def _stop_agent(faults: Faults) -> None:
    faults.stop_agent(faults.pick_process(faults.world.agents()))


@fault("stop_leader")
def _stop_leader(faults: Faults) -> None:
    faults.stop_agent(faults.pick_leader())


@fault("stop_entry")
def _stop_entry(faults: Faults) -> None:
    faults.stop_entry(faults.pick_process(faults.world.entries()))


@fault("drain_hall")
def _drain_hall(faults: Faults) -> None:
    """Drain a hall for a while; a later drain takes the place of this one."""
    hall = HALL if faults.world.random.random() < MAIN_HALL_SHARE else OTHER_HALL
    faults.halls.set_drained(hall)
    duration_s = faults.draw_duration_s(*HALL_DRAIN_DURATION_S)
    faults.world.clock.after(duration_s, faults.halls.set_drained)


@fault("list_leaving")
def _list_leaving(faults: Faults) -> None:
    faults.list_leaving(faults.pick_leader())


__all__ = ["FAULTS", "Faults", "fault"]
