# SPDX-License-Identifier: Apache-2.0
"""Driving a node through time while counting what it costs."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.effects import Send
from ochreway_core.peer import Peer
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.entry import EntryNode
from ochreway_wire.batch import decode_batch, encode_batch

HEADER_BYTES = 60
"""Assumed for each batch: TCP and IP 40 to 52, websocket 4 to 8."""
TICK_S = 0.1

Answer = Callable[[Peer, object], list[object]]


@dataclass(slots=True)
class Cost:
    """Hold what a node spent over some virtual time."""

    seconds: float = 0.0
    cpu_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    batches: int = 0

    @property
    def cpu_percent(self) -> float:
        """Return the share of a core."""
        return 100.0 * self.cpu_s / self.seconds

    @property
    def bytes_per_s(self) -> float:
        """Return bytes sent and received a second."""
        return (self.sent_bytes + self.received_bytes) / self.seconds


@dataclass(slots=True)
class Meter:
    """Tick a node; encode what it sends, decode and hand it what its peers answer."""

    node: AgentNode | EntryNode
    answer: Answer
    now_s: float = 100.0
    cost: Cost = field(default_factory=Cost)

    def run(self, seconds: float) -> Cost:
        """Run for some virtual time."""
        self.cost = Cost(seconds=seconds)
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            self._tick()
        return self.cost

    def _tick(self) -> None:
        began_s = time.process_time()
        self.node.on_tick(self.now_s)
        outgoing: dict[Peer, list[object]] = {}
        for effect in self.node.take():
            if isinstance(effect, Send):
                outgoing.setdefault(effect.peer, []).append(effect.message)
        contents = {
            peer: encode_batch(self.node.version, messages) for peer, messages in outgoing.items()
        }
        self.cost.cpu_s += time.process_time() - began_s
        for peer, content in contents.items():
            self.cost.sent_bytes += len(content) + HEADER_BYTES
            self.cost.batches += 1
            self._answered(peer, outgoing[peer])

    def _answered(self, peer: Peer, messages: list[object]) -> None:
        answers = [reply for message in messages for reply in self.answer(peer, message)]
        if answers:
            self.receive(peer, answers)

    def receive(self, peer: Peer, answers: list[object]) -> None:
        """Count and handle what a peer sends."""
        content = encode_batch(self.node.version, answers)
        self.cost.received_bytes += len(content) + HEADER_BYTES
        began_s = time.process_time()
        batch = decode_batch(content)
        for message in batch.messages:
            self.node.on_message(peer, batch.version, message, self.now_s)
        self.cost.cpu_s += time.process_time() - began_s


def memory_kb(make: Callable[[], object]) -> float:
    """Return the memory that making something takes and keeps."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000.0


def cpu_us(call: Callable[[], object], times: int) -> float:
    """Return the processor time of one call."""
    call()
    began_s = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - began_s) / times * 1e6


__all__ = ["HEADER_BYTES", "Cost", "Meter", "cpu_us", "memory_kb"]
