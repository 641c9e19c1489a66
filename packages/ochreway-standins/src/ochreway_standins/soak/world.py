# SPDX-License-Identifier: Apache-2.0
"""The simulated world of one run: processes, network, platform and targets."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ochreway_core.effects import (
    CancelWork,
    Count,
    Deliver,
    FetchBody,
    Finish,
    HandOver,
    Log,
    OrderTarget,
    Send,
    TableCommit,
    TableRead,
)
from ochreway_core.ids import DomainId, HallId, Incarnation, NodeId, ScopeId
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_core.peer import Peer
from ochreway_core.targetkind import TargetKind
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_core.timing import Timing
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.controller.repair import RepairTuning
from ochreway_nodes.entry import EntryNode
from ochreway_nodes.targetstate import TargetState
from ochreway_standins.soak.clock import Clock
from ochreway_standins.soak.network import RESET_AFTER_S, Network
from ochreway_standins.soak.process import Event, Process
from ochreway_standins.soak.simplatform import SimPlatform
from ochreway_standins.soak.simtarget import Execution, SimTarget

APPROVER_KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
APPROVER_KEYS = {"bo": APPROVER_KEY.public_key()}
HALL = HallId("h1")
OTHER_HALL = HallId("h2")
OTHER_HALL_NODES = frozenset({"engine-1", "engine-4", "service-0"})
"""Includes one of the first members of each replica, so that a drain affects every group."""
DOMAIN = DomainId("d1")
SCOPE = ScopeId("main")
MAX_CLOCK_DRIFT = 0.002
STATE_POLL_INTERVAL_S = 0.5
START_WALL_S = 1.0e9


@dataclass(frozen=True, slots=True)
class Shape:
    """Size and settings of a world."""

    entries: int = 3
    engines: int = 8
    services: int = 2
    load_s: float = 1.0
    timing: Timing = field(
        default_factory=lambda: Timing(
            tick_s=0.2, key_memory_s=20.0, leader_silent_s=30.0, hall_drain_s=4.0
        )
    )
    repair_policy: str = "expected_cost"
    repair: RepairTuning = field(default_factory=lambda: RepairTuning(load_s=1.0, replace_s=10.0))


class World:
    """Run real nodes against small fakes and record what happened."""

    def __init__(self, seed: int, shape: Shape) -> None:
        self.random = random.Random(seed)
        self.shape = shape
        self.clock = Clock()
        self.network = Network(self.clock, self.random, self._link_reset)
        self.platform = SimPlatform(self.clock, self.random)
        self.processes: dict[NodeId, Process] = {}
        self.targets: dict[NodeId, SimTarget] = {}
        self.executions: list[Execution] = []
        self.counters: dict[str, int] = {}
        self.trace: list[str] = []
        self.next_hand_over_pause_s: Callable[[], float] = lambda: 0.0
        self.around_hand_over: Callable[[NodeId, str], None] = lambda node, moment: None
        self.on_hand_over: Callable[[Process, HandOver], None] = lambda process, order: None
        self.on_deliver: Callable[[Process, Deliver], None] = lambda process, effect: None
        self.on_finish: Callable[[Process, Finish], None] = lambda process, effect: None
        self.on_version_applied: Callable[[Process], None] = lambda process: None
        self.on_target_contact: Callable[[Process], None] = lambda process: None
        self.on_notice: Callable[[Process, TargetNotice], None] = lambda process, notice: None
        self._effect_handlers: dict[type, Callable[[Process, Any], None]] = {
            Send: self._send,
            HandOver: self._hand_over,
            CancelWork: self._cancel_work,
            OrderTarget: self._order_target,
            TableRead: self._table_read,
            TableCommit: self._table_commit,
            FetchBody: self._fetch_body,
            Deliver: lambda process, effect: self.on_deliver(process, effect),
            Finish: lambda process, effect: self.on_finish(process, effect),
            Count: self._count,
            Log: self._log,
        }
        for index in range(shape.entries):
            self.boot(NodeId(f"entry-{index}"))
        for index in range(shape.engines):
            self.boot(NodeId(f"engine-{index}"))
        for index in range(shape.services):
            self.boot(NodeId(f"service-{index}"))

    # Processes

    def boot(self, node: NodeId) -> None:
        """Start or restart a process and add it to the platform's list."""
        rng = self.random
        is_entry = node.startswith("entry")
        peer = Peer(node, f"{node}:1")
        drift = 1.0 + rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        offset_s = rng.uniform(0.0, 1.0e6)
        local_s = offset_s + self.clock.now_s * drift
        incarnation = Incarnation(rng.getrandbits(32))
        new_node: AgentNode | EntryNode
        if is_entry:
            new_node = self._create_entry_node(peer, incarnation, local_s)
        else:
            wall_s = START_WALL_S + self.clock.now_s
            new_node = AgentNode(
                peer, incarnation, self.shape.timing, APPROVER_KEYS, local_s, wall_s
            )
            self._boot_target(node)
        process = Process(peer, new_node, self.clock.now_s, offset_s, drift)
        self.processes[node] = process
        kind = InstanceKind.ENTRY if is_entry else InstanceKind.TARGET
        self.platform.listed[node] = ListedInstance(node, peer.address, kind, hall_of(node), DOMAIN)
        self.clock.after(rng.random() * self.shape.timing.tick_s, partial(self._tick, process))
        if is_entry:
            self._poll_list(process)
        else:
            self._poll_target(process)

    def _create_entry_node(self, peer: Peer, incarnation: Incarnation, local_s: float) -> EntryNode:
        return EntryNode(
            peer,
            incarnation,
            HALL,
            SCOPE,
            self.shape.timing,
            APPROVER_KEYS,
            random.Random(self.random.getrandbits(32)),
            local_s,
            repair_policy=self.shape.repair_policy,
            repair_tuning=self.shape.repair,
        )

    def _boot_target(self, node: NodeId) -> None:
        if node in self.targets:
            self.targets[node].crash()
            return
        kind = TargetKind.SERVICE if node.startswith("service") else TargetKind.MODEL
        checks_orders = int(node.rpartition("-")[2]) % 2 == 0
        self.targets[node] = SimTarget(
            self.clock, self.random, self.shape.load_s, kind, checks_orders, self.executions
        )

    def kill(self, node: NodeId, whole_instance: bool) -> None:
        """End a process at once, and its target too if the whole instance is lost."""
        process = self.processes[node]
        process.alive = False
        process.waiting.clear()
        process.silent_since_s = self.clock.now_s
        if whole_instance and node in self.targets:
            self.targets[node].crash()
        delay_s = RESET_AFTER_S if whole_instance else 0.01
        self.clock.after(delay_s, partial(self._all_links_down, node))

    def _all_links_down(self, node: NodeId) -> None:
        for process in self.processes.values():
            if process.peer.node != node:
                self.post(process, partial(_link_down, process, node))

    def pause(self, node: NodeId) -> None:
        """Freeze a process; its links are reset if the pause lasts."""
        process = self.processes[node]
        if not process.running:
            return
        process.paused = True
        process.silent_since_s = self.clock.now_s
        self.clock.after(RESET_AFTER_S, partial(self._break_links_if_paused, process))

    def _break_links_if_paused(self, process: Process) -> None:
        if process.paused and process.alive:
            self._all_links_down(process.peer.node)

    def wake(self, node: NodeId) -> None:
        """Resume a frozen process and deliver the events that it missed."""
        process = self.processes[node]
        process.paused = False
        process.silent_since_s = None
        waiting, process.waiting = process.waiting, []
        for event in waiting:
            self.post(process, event)

    def post(self, process: Process, event: Event) -> None:
        """Deliver an event to a process, now or when it resumes; drop it if the process is dead."""
        if process.paused and process.alive:
            process.waiting.append(event)
            return
        if not process.alive:
            return
        before = process.node.version
        event(process.local_s(self.clock.now_s))
        if process.node.version != before:
            self.on_version_applied(process)
        for effect in process.node.take():
            self._effect_handlers[type(effect)](process, effect)

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        if not process.paused:
            self.post(process, process.node.on_tick)
        self.clock.after(self.shape.timing.tick_s, partial(self._tick, process))

    def _poll_list(self, process: Process) -> None:
        if not process.alive:
            return
        node = process.node
        assert isinstance(node, EntryNode)
        if node.keeper.reads_list:
            self.platform.list_now(
                lambda found: self.post(process, lambda now_s: node.on_listing(found, now_s))
            )
        self.clock.after(self.shape.timing.list_poll_s, partial(self._poll_list, process))

    def _poll_target(self, process: Process) -> None:
        if not process.alive:
            return
        node, target = process.node, self.targets[process.peer.node]
        assert isinstance(node, AgentNode)
        if not process.paused:
            self._poll_target_state(process, node, target)
        self.clock.after(STATE_POLL_INTERVAL_S, partial(self._poll_target, process))

    def _poll_target_state(self, process: Process, node: AgentNode, target: SimTarget) -> None:
        seen_s = process.local_s(self.clock.now_s)
        if not node.may_poll(seen_s):
            down = target.down
            self.post(process, lambda now_s: node.on_target_process_state(down, now_s))
        elif not target.down and self._deliver_to_target(process, target):
            state = TargetState(
                target.epoch,  # type: ignore[arg-type]
                target.artifact,
                target.loaded,
                seen_s,
                target.leaving,
            )
            self.post(process, lambda _: node.on_target_state(state))

    def _deliver_to_target(
        self, process: Process, target: SimTarget, to_request: bool = False
    ) -> bool:
        """Deliver something to a target; return whether the target accepts it."""
        node, notice = process.node, target.notice
        assert isinstance(node, AgentNode)
        self.on_target_contact(process)
        if notice != NO_NOTICE:
            self.on_notice(process, notice)
        if notice != NO_NOTICE or (to_request and node.has_limit):
            self.post(process, lambda now_s: node.on_target_notice(notice, now_s, to_request))
        return notice.backoff_s is None

    def _link_reset(self, one: NodeId, other: NodeId) -> None:
        for here, there in ((one, other), (other, one)):
            process = self.processes[here]
            self.post(process, partial(_link_down, process, there))

    # Effects

    def _send(self, process: Process, effect: Send) -> None:
        sender, version = process.peer, process.node.version
        target, message = effect.peer.node, effect.message

        def deliver() -> None:
            receiver = self.processes.get(target)
            if receiver is not None:
                self.post(
                    receiver,
                    lambda now_s: receiver.node.on_message(sender, version, message, now_s),
                )

        self.network.send(sender.node, target, deliver)

    def _hand_over(self, process: Process, effect: HandOver) -> None:
        pause_s = self.next_hand_over_pause_s()
        if pause_s:
            self.pause(process.peer.node)
            self.clock.after(pause_s, partial(self.wake, process.peer.node))
        self.around_hand_over(process.peer.node, "before")
        self.post(process, partial(self._hand_over_now, process, effect))
        self.around_hand_over(process.peer.node, "after")

    def _hand_over_now(self, process: Process, order: HandOver, now_s: float) -> None:
        node = process.node
        assert isinstance(node, AgentNode)
        attempt = order.submit.attempt
        if not node.may_hand_over(order, now_s):
            node.on_hand_over_missed(attempt, now_s)
            return
        self.on_hand_over(process, order)
        target = self.targets[process.peer.node]
        if not target.down and not self._deliver_to_target(process, target, to_request=True):
            self.post(process, lambda now_s: node.on_turned_away(attempt, now_s))
            return
        target.run(
            order.submit,
            lambda attempt, chunk: self.post(
                process, lambda now_s: node.on_chunk(attempt, chunk, now_s)
            ),
            lambda attempt, started, ended: self.post(
                process, lambda now_s: node.on_target_failed(attempt, started, now_s, ended)
            ),
        )

    def _cancel_work(self, process: Process, effect: CancelWork) -> None:
        self.targets[process.peer.node].cancel(effect.attempt)

    def _order_target(self, process: Process, effect: OrderTarget) -> None:
        node = process.node
        assert isinstance(node, AgentNode)

        def order(now_s: float) -> None:
            target = self.targets[process.peer.node]
            if (
                node.may_order(effect, now_s)
                and not target.down
                and self._deliver_to_target(process, target)
            ):
                target.order(effect.order)

        self.post(process, order)

    def _table_read(self, process: Process, effect: TableRead) -> None:
        node = process.node
        assert isinstance(node, EntryNode)
        self.platform.read(
            effect.prefixes,
            lambda reply: self.post(
                process, lambda now_s: node.on_read(effect.use, effect.call, reply, now_s)
            ),
        )

    def _table_commit(self, process: Process, effect: TableCommit) -> None:
        node = process.node
        assert isinstance(node, EntryNode)
        self.platform.commit(
            effect.transaction,
            lambda reply: self.post(
                process, lambda now_s: node.on_commit(effect.call, reply, now_s)
            ),
        )

    def _fetch_body(self, process: Process, effect: FetchBody) -> None:
        node = process.node
        assert isinstance(node, EntryNode)
        self.platform.body(
            effect.bundle,
            lambda body: self.post(process, lambda now_s: node.on_body(effect.bundle, body, now_s)),
        )

    def _count(self, process: Process, effect: Count) -> None:
        self.counters[effect.name] = self.counters.get(effect.name, 0) + effect.amount

    def _log(self, process: Process, effect: Log) -> None:
        fields = " ".join(f"{key}={value}" for key, value in effect.fields.items())
        self.trace.append(f"{self.clock.now_s:.4f} {process.peer.node} {effect.event} {fields}")

    # Queries

    def agents(self) -> list[Process]:
        """Return every agent's process."""
        return [each for each in self.processes.values() if isinstance(each.node, AgentNode)]

    def entries(self) -> list[Process]:
        """Return every entry's process."""
        return [each for each in self.processes.values() if isinstance(each.node, EntryNode)]


def hall_of(node: NodeId) -> HallId:
    """Return the hall that an instance is in."""
    return OTHER_HALL if node in OTHER_HALL_NODES else HALL


def _link_down(process: Process, node: NodeId, now_s: float) -> None:
    if isinstance(process.node, EntryNode):
        process.node.on_link_down(node, now_s)


__all__ = [
    "DOMAIN",
    "HALL",
    "APPROVER_KEY",
    "OTHER_HALL",
    "SCOPE",
    "START_WALL_S",
    "Shape",
    "World",
    "hall_of",
]
