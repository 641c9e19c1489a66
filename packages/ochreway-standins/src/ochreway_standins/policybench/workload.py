# SPDX-License-Identifier: Apache-2.0
"""Work shaped like the two deployments."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from ochreway_core.priority import Priority
from ochreway_routing.prefix import BLOCK_TOKENS

ORGANISATIONS = 10
LARGE_SHARE = 0.55
"""The share of the two largest organisations together."""
SYSTEM_TOKENS = (1024, 3072)
TURN_TOKENS = (64, 256)
CHAT_ANSWER_TOKENS = (60, 180)
TURNS = (2, 8)
THINK_S = (4.0, 15.0)
CHAT_DEADLINE_S = 8.0
SHORT_DEADLINE_S = 2.0
SHORT_ANSWER_TOKENS = (4, 16)
BURST_EVERY_S = 30.0
BURST_LASTS_S = 5.0
BURST_FACTOR = 1.6


@dataclass(frozen=True, slots=True)
class Ask:
    """Describe one request of the workload."""

    number: int
    organisation: str
    caller: str
    priority: Priority
    repeatable: bool
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    asked_s: float
    deadline_s: float


@dataclass(slots=True)
class _Conversation:
    organisation: int
    caller: str
    blocks: list[int]
    tokens: int
    turns_left: int


class Workload:
    """Draw requests: chats of several turns, look-ups, confirmations."""

    def __init__(self, rng: random.Random, rate_per_s: float) -> None:
        self._random = rng
        self._rate_per_s = rate_per_s
        self._number = 0
        self._waiting: list[tuple[float, _Conversation]] = []
        self._system = [rng.randint(*SYSTEM_TOKENS) for _ in range(ORGANISATIONS)]
        rest = (1.0 - LARGE_SHARE) / (ORGANISATIONS - 2)
        self.weights = [LARGE_SHARE * 0.6, LARGE_SHARE * 0.4] + [rest] * (ORGANISATIONS - 3)
        self.weights.append(rest * 0.4)

    def asks(self, until_s: float) -> Iterator[Ask]:
        """Yield requests in the order of their time."""
        now_s = 0.0
        while now_s < until_s:
            burst = now_s % BURST_EVERY_S < BURST_LASTS_S
            factor = BURST_FACTOR if burst else 1.0
            base = self._rate_per_s / (1.0 + (BURST_FACTOR - 1.0) * BURST_LASTS_S / BURST_EVERY_S)
            now_s += self._random.expovariate(base * factor)
            kind = self._random.random()
            if kind < 0.6:
                yield self._chat(now_s)
            elif kind < 0.85:
                yield self._short(now_s, Priority.NORMAL, repeatable=True)
            else:
                yield self._short(now_s, Priority.VISIT, repeatable=False)

    def _organisation(self) -> int:
        return self._random.choices(range(ORGANISATIONS), self.weights)[0]

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _conversation(self, now_s: float) -> _Conversation:
        due = [each for each in self._waiting[:50] if each[0] <= now_s]
        if due and self._random.random() < 0.8:
            chosen = self._random.choice(due)
            self._waiting.remove(chosen)
            return chosen[1]
        organisation = self._organisation()
        system = self._system[organisation]
        blocks = [_block(f"system-{organisation}", each) for each in range(system // BLOCK_TOKENS)]
        caller = f"org{organisation}-user{self._random.randrange(200)}"
        return _Conversation(organisation, caller, blocks, system, self._random.randint(*TURNS))

    def _chat(self, now_s: float) -> Ask:
        talk = self._conversation(now_s)
        number = self._next_number()
        talk.tokens += self._random.randint(*TURN_TOKENS)
        while len(talk.blocks) < talk.tokens // BLOCK_TOKENS:
            talk.blocks.append(_block(f"talk-{number}", len(talk.blocks)))
        answer = self._random.randint(*CHAT_ANSWER_TOKENS)
        ask = Ask(
            number,
            f"org{talk.organisation}",
            talk.caller,
            Priority.NORMAL,
            True,
            tuple(talk.blocks),
            talk.tokens,
            answer,
            now_s,
            now_s + CHAT_DEADLINE_S,
        )
        talk.tokens += answer
        talk.turns_left -= 1
        if talk.turns_left > 0:
            self._waiting.append((now_s + self._random.uniform(*THINK_S), talk))
        return ask

    def _short(self, now_s: float, priority: Priority, repeatable: bool) -> Ask:
        organisation = self._organisation()
        system = min(self._system[organisation], 512)
        kind = f"short-{organisation}"
        blocks = tuple(_block(kind, each) for each in range(system // BLOCK_TOKENS))
        return Ask(
            self._next_number(),
            f"org{organisation}",
            f"org{organisation}-user{self._random.randrange(200)}",
            priority,
            repeatable,
            blocks,
            system + self._random.randint(16, 48),
            self._random.randint(*SHORT_ANSWER_TOKENS),
            now_s,
            now_s + SHORT_DEADLINE_S,
        )


def _block(text: str, index: int) -> int:
    return xxhash.xxh64_intdigest(f"{text}/{index}".encode())


__all__ = ["ORGANISATIONS", "Ask", "Workload"]
