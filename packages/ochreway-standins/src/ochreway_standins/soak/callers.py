# SPDX-License-Identifier: Apache-2.0
"""Callers under virtual time, who retry by key through other entries."""

from dataclasses import dataclass
from functools import partial

from ochreway_core.effects import Deliver, Finish
from ochreway_core.ids import KeyDigest, NodeId, OrganisationId, RequestId, TargetName
from ochreway_core.outcome import Outcome
from ochreway_core.priority import Priority
from ochreway_core.request import Request
from ochreway_core.targetkind import TargetKind
from ochreway_nodes.entry import EntryNode
from ochreway_standins.soak.operator import ORGANISATIONS
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.simtarget import PIECES
from ochreway_standins.soak.world import START_WALL_S, World

DEADLINE_S = (3.0, 10.0)
TRIES = 3
AGAIN_S = 0.3
CALLER_SKEW_S = 0.4
ISSUE_TIME_SHARE = 0.7
FATAL_AGAIN_S = (0.1, 0.9)
"""After how long a request that ends its targets is asked for again."""


@dataclass(slots=True)
class Asked:
    """Record one request as its caller saw it."""

    request: Request
    entry: NodeId
    incarnation_born_s: float
    asked_s: float
    deadline_s: float
    tries_left: int
    answer: bytearray
    finish: Finish | None = None
    finishes: int = 0
    entry_lost: bool = False


class Callers:
    """Ask at a steady pace and remember what was answered."""

    def __init__(self, world: World) -> None:
        self.asked: dict[RequestId, Asked] = {}
        self._world = world
        self._sequence = 0
        world.on_deliver = self._on_deliver
        world.on_finish = self._on_finish

    def ask_until(self, end_s: float, every_s: float) -> None:
        """Ask now and then until a time."""
        if self._world.clock.now_s >= end_s:
            return
        self._ask_new()
        wait_s = self._world.random.expovariate(1.0 / every_s)
        self._world.clock.after(wait_s, partial(self.ask_until, end_s, every_s))

    def _ask_new(self) -> None:
        rng = self._world.random
        self._sequence += 1
        service = rng.random() < 0.4
        keyed = rng.random() < 0.6
        key = KeyDigest(f"key-{self._sequence}") if keyed else None
        repeatable = not keyed and rng.random() < 0.5
        deadline_s = self._world.clock.now_s + rng.uniform(*DEADLINE_S)
        skewed_s = (
            START_WALL_S + self._world.clock.now_s + rng.uniform(-CALLER_SKEW_S, CALLER_SKEW_S)
        )
        issued_s = skewed_s if rng.random() < ISSUE_TIME_SHARE else 0.0
        self._ask(service, key, issued_s, repeatable, deadline_s, rng.randint(*PIECES), TRIES)

    def _ask(
        self,
        service: bool,
        key: KeyDigest | None,
        key_issued_wall_s: float,
        repeatable: bool,
        deadline_s: float,
        pieces: int,
        tries_left: int,
        body: bytes = b"",
    ) -> None:
        world = self._world
        entries = [each for each in world.entries() if each.alive]
        if not entries:
            return
        process = world.random.choice(entries)
        request = Request(
            request=RequestId(f"r{len(self.asked)}"),
            organisation=OrganisationId(
                ORGANISATIONS[0] if body else world.random.choice(ORGANISATIONS)
            ),
            kind=TargetKind.SERVICE if service else TargetKind.MODEL,
            target=TargetName("roster" if service else "planner"),
            repeatable=repeatable,
            key=key,
            key_issued_wall_s=key_issued_wall_s,
            priority=world.random.choice(list(Priority)),
            deadline_s=process.local_s(deadline_s),
            prompt_tokens=50,
            max_tokens=pieces,
            blocks=(),
            caller="c",
            adapter="",
            method="POST",
            path="/x",
            # Each request asks for something of its own; a caller's retry asks for the same.
            body=body or str(key or f"r{len(self.asked)}").encode(),
        )
        asked = Asked(
            request,
            process.peer.node,
            process.born_s,
            world.clock.now_s,
            deadline_s,
            tries_left - 1,
            bytearray(),
        )
        self.asked[request.request] = asked
        node = process.node
        assert isinstance(node, EntryNode)
        world.post(process, lambda now_s: node.on_request(request, now_s))

    def ask_fatal(self, body: bytes, service: bool, times: int) -> None:
        """Ask for what ends its targets, again and again, of any entry."""
        if not times:
            return
        rng = self._world.random
        deadline_s = self._world.clock.now_s + rng.uniform(*DEADLINE_S)
        self._ask(service, None, 0.0, True, deadline_s, 1, 1, body)
        again = partial(self.ask_fatal, body, service, times - 1)
        self._world.clock.after(rng.uniform(*FATAL_AGAIN_S), again)

    def _on_deliver(self, process: Process, effect: Deliver) -> None:
        self.asked[effect.request].answer += effect.payload

    def _on_finish(self, process: Process, effect: Finish) -> None:
        asked = self.asked[effect.request]
        asked.finishes += 1
        asked.finish = effect
        if effect.outcome is not Outcome.ANSWERED:
            self._again(asked)

    def entry_died(self, node: NodeId) -> None:
        """Let the callers of a dead entry ask another one."""
        for asked in list(self.asked.values()):
            if asked.entry == node and asked.finish is None and not asked.entry_lost:
                asked.entry_lost = True
                self._again(asked)

    def _again(self, asked: Asked) -> None:
        if asked.tries_left <= 0 or asked.request.key is None:
            return

        def again() -> None:
            if self._world.clock.now_s < asked.deadline_s:
                self._ask(
                    asked.request.kind is TargetKind.SERVICE,
                    asked.request.key,
                    asked.request.key_issued_wall_s,
                    asked.request.repeatable,
                    asked.deadline_s,
                    asked.request.max_tokens,
                    asked.tries_left,
                )

        self._world.clock.after(AGAIN_S, again)

    def unanswered(self) -> list[Asked]:
        """Return the requests that have not ended though their entry lives."""
        return [
            asked for asked in self.asked.values() if asked.finish is None and not asked.entry_lost
        ]


__all__ = ["Asked", "Callers"]
