# SPDX-License-Identifier: Apache-2.0
"""Callers under virtual time, which retry requests with a key through other entries."""

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
from ochreway_standins.soak.simtarget import FATAL_BLOCKS_FROM, PIECE_COUNT_RANGE
from ochreway_standins.soak.world import START_WALL_S, World

DEADLINE_RANGE_S = (3.0, 10.0)
MAX_TRIES = 3
RETRY_DELAY_S = 0.3
MAX_CALLER_SKEW_S = 0.4
ISSUE_TIME_SHARE = 0.7
FATAL_INTERVAL_S = (0.1, 0.9)
"""Range of the time between two copies of a fatal request."""


SHARED_BLOCKS = (1, 2, 3)
"""First blocks that sound prompts share with those that have a fatal block."""


@dataclass(slots=True)
class CallerRequest:
    """A request as its caller sees it."""

    request: Request
    entry: NodeId
    incarnation_born_s: float
    sent_s: float
    deadline_s: float
    tries_left: int
    answer: bytearray
    finish: Finish | None = None
    finishes: int = 0
    entry_is_dead: bool = False


class Callers:
    """Send requests at a constant mean rate and record the answers."""

    def __init__(self, world: World) -> None:
        self.sent_requests: dict[RequestId, CallerRequest] = {}
        self._world = world
        self._sequence = 0
        self._fatal_blocks_sent = 0
        world.on_deliver = self._on_deliver
        world.on_finish = self._on_finish

    def send_until(self, end_s: float, mean_interval_s: float) -> None:
        """Send requests at random intervals until a time."""
        if self._world.clock.now_s >= end_s:
            return
        self._send_new()
        wait_s = self._world.random.expovariate(1.0 / mean_interval_s)
        self._world.clock.after(wait_s, partial(self.send_until, end_s, mean_interval_s))

    def _send_new(self) -> None:
        rng = self._world.random
        self._sequence += 1
        service = rng.random() < 0.4
        keyed = rng.random() < 0.6
        key = KeyDigest(f"key-{self._sequence}") if keyed else None
        repeatable = not keyed and rng.random() < 0.5
        deadline_s = self._world.clock.now_s + rng.uniform(*DEADLINE_RANGE_S)
        skewed_s = (
            START_WALL_S
            + self._world.clock.now_s
            + rng.uniform(-MAX_CALLER_SKEW_S, MAX_CALLER_SKEW_S)
        )
        issued_s = skewed_s if rng.random() < ISSUE_TIME_SHARE else 0.0
        self._send(
            service,
            key,
            issued_s,
            repeatable,
            deadline_s,
            rng.randint(*PIECE_COUNT_RANGE),
            MAX_TRIES,
            blocks=self._sound_blocks(),
        )

    def _send(
        self,
        service: bool,
        key: KeyDigest | None,
        key_issued_wall_s: float,
        repeatable: bool,
        deadline_s: float,
        pieces: int,
        tries_left: int,
        body: bytes = b"",
        blocks: tuple[int, ...] = (),
    ) -> None:
        world = self._world
        entries = [each for each in world.entries() if each.alive]
        if not entries:
            return
        process = world.random.choice(entries)
        request = Request(
            request=RequestId(f"r{len(self.sent_requests)}"),
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
            blocks=blocks,
            caller="c",
            adapter="",
            method="POST",
            path="/x",
            # Each request has a body of its own; a caller's retry repeats the body.
            body=body or str(key or f"r{len(self.sent_requests)}").encode(),
        )
        sent = CallerRequest(
            request,
            process.peer.node,
            process.born_s,
            world.clock.now_s,
            deadline_s,
            tries_left - 1,
            bytearray(),
        )
        self.sent_requests[request.request] = sent
        node = process.node
        assert isinstance(node, EntryNode)
        world.post(process, lambda now_s: node.on_request(request, now_s))

    def send_fatal(self, body: bytes, service: bool, times: int) -> None:
        """Send a request that ends its targets repeatedly, through random entries."""
        if not times:
            return
        rng = self._world.random
        deadline_s = self._world.clock.now_s + rng.uniform(*DEADLINE_RANGE_S)
        self._send(service, None, 0.0, True, deadline_s, 1, 1, body)
        again = partial(self.send_fatal, body, service, times - 1)
        self._world.clock.after(rng.uniform(*FATAL_INTERVAL_S), again)

    def _sound_blocks(self) -> tuple[int, ...]:
        """Return the blocks of a sound prompt; it has some while fatal ones are sent."""
        if not self._fatal_blocks_sent:
            return ()
        return self._blocks_with(())

    def _blocks_with(self, others: tuple[int, ...]) -> tuple[int, ...]:
        """Return a shared first block, other ones and one that no other prompt has."""
        first = SHARED_BLOCKS[self._sequence % len(SHARED_BLOCKS)]
        return first, *others, FATAL_BLOCKS_FROM - 1 - self._sequence

    def send_fatal_block(self, block: int, service: bool, times: int) -> None:
        """Send different requests that share a block which ends their targets."""
        self._fatal_blocks_sent += 1
        self._send_with_block(block, service, times)

    def _send_with_block(self, block: int, service: bool, times: int) -> None:
        if not times:
            self._fatal_blocks_sent -= 1
            return
        rng = self._world.random
        self._sequence += 1
        deadline_s = self._world.clock.now_s + rng.uniform(*DEADLINE_RANGE_S)
        body = b"with a block %d" % self._sequence
        blocks = self._blocks_with((block,))
        self._send(service, None, 0.0, True, deadline_s, 1, 1, body, blocks)
        again = partial(self._send_with_block, block, service, times - 1)
        self._world.clock.after(rng.uniform(*FATAL_INTERVAL_S), again)

    def _on_deliver(self, process: Process, effect: Deliver) -> None:
        self.sent_requests[effect.request].answer += effect.payload

    def _on_finish(self, process: Process, effect: Finish) -> None:
        sent = self.sent_requests[effect.request]
        sent.finishes += 1
        sent.finish = effect
        if effect.outcome is not Outcome.ANSWERED:
            self._retry(sent)

    def entry_died(self, node: NodeId) -> None:
        """Let the callers of a dead entry retry through another one."""
        for sent in list(self.sent_requests.values()):
            if sent.entry == node and sent.finish is None and not sent.entry_is_dead:
                sent.entry_is_dead = True
                self._retry(sent)

    def _retry(self, sent: CallerRequest) -> None:
        if sent.tries_left <= 0 or sent.request.key is None:
            return

        def again() -> None:
            if self._world.clock.now_s < sent.deadline_s:
                self._send(
                    sent.request.kind is TargetKind.SERVICE,
                    sent.request.key,
                    sent.request.key_issued_wall_s,
                    sent.request.repeatable,
                    sent.deadline_s,
                    sent.request.max_tokens,
                    sent.tries_left,
                    blocks=sent.request.blocks,
                )

        self._world.clock.after(RETRY_DELAY_S, again)

    def unanswered(self) -> list[CallerRequest]:
        """Return the requests that have not ended although their entry is alive."""
        return [
            sent
            for sent in self.sent_requests.values()
            if sent.finish is None and not sent.entry_is_dead
        ]


__all__ = ["CallerRequest", "Callers"]
