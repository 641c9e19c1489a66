# SPDX-License-Identifier: Apache-2.0
"""What is known to be fatal, and the entries that must have been notified of it."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ochreway_core.ids import NodeId
from ochreway_core.messages import Submit
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.simtarget import FATAL, fatal_cause
from ochreway_standins.soak.world import World

FATAL_AFTER_CRASHES = 3
FATAL_AFTER_CRASHES_OF_BLOCK = 5
"""Crashes under different requests before the block that they share must be known."""
MAX_PROPAGATION_S = 4.0
"""Time without disturbance after which an entry must have been notified of a crash.

A lost notice is sent again within 2 s, and entries are observed every 0.5 s.
"""
MAX_LATE_SENDS = 3


@dataclass(slots=True)
class CrashTruth:
    """Check what targets ran; a crash counts if its entry could have been notified of it."""

    world: World
    _disturbed_s: dict[NodeId, float] = field(default_factory=dict)
    _crashes_s: dict[bytes, list[float]] = field(default_factory=dict)
    _late_sends: Counter[bytes] = field(default_factory=Counter)

    def observe(self) -> None:
        """Record which entries are disturbed by a fault now."""
        now_s = self.world.clock.now_s
        for process in self.world.entries():
            if self._is_disturbed(process):
                self._disturbed_s[process.peer.node] = now_s

    def _is_disturbed(self, process: Process) -> bool:
        recently_started = self.world.clock.now_s - process.born_s < MAX_PROPAGATION_S
        return (
            recently_started
            or not process.running
            or self.world.network.disorder
            or self._is_cut_off(process)
        )

    def _is_cut_off(self, process: Process) -> bool:
        node, network = process.peer.node, self.world.network
        others = (other for other in self.world.processes if other != node)
        return any(network.is_cut(node, each) or network.is_cut(each, node) for each in others)

    def _undisturbed_since_s(self, entry: NodeId) -> float:
        return self._disturbed_s.get(entry, 0.0)

    def check_hand_over(self, leader: NodeId, submit: Submit) -> Iterator[str]:
        """Check a request that is handed over to its target."""
        cause = fatal_cause(submit)
        if cause is None:
            return
        self.observe()
        now_s = self.world.clock.now_s
        entry = submit.attempt.entry
        undisturbed_s = now_s - self._undisturbed_since_s(entry)
        crashes = self._crashes_s.setdefault(cause, [])
        needed = FATAL_AFTER_CRASHES if cause.startswith(FATAL) else FATAL_AFTER_CRASHES_OF_BLOCK
        is_known_fatal = len(crashes) >= needed and now_s - crashes[needed - 1] > MAX_PROPAGATION_S
        if (
            is_known_fatal
            and undisturbed_s > MAX_PROPAGATION_S
            and not self.world.targets[leader].down
        ):
            self._late_sends[cause] += 1
            if self._late_sends[cause] > MAX_LATE_SENDS:
                yield (f"{entry} sent {cause!r} to {leader}, {self._late_sends[cause]} times")
        if undisturbed_s > MAX_PROPAGATION_S and self._can_report(leader):
            crashes.append(now_s)

    def _can_report(self, leader: NodeId) -> bool:
        """Return whether the agent of a target can report the target's crash."""
        process = self.world.processes[leader]
        target = self.world.targets[leader]
        return process.running and not target.down and not target.broken


__all__ = ["CrashTruth"]
