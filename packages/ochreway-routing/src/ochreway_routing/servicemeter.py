# SPDX-License-Identifier: Apache-2.0
"""How fast a replica works, as its leader learns it from what it hands over."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ochreway_routing.prefix import BLOCK_TOKENS
from ochreway_routing.prefixindex import PrefixIndex

K = TypeVar("K")

LEARN_WEIGHT = 0.1
MIN_LEARN_TOKENS = 32
MIN_ANSWER_TOKENS = 2
MAX_EXPECTED_TOKENS = 512
"""Callers often allow far more tokens than they get; no more than this is held against them."""


@dataclass(slots=True)
class _Running:
    started_s: float
    prefill_tokens: float
    first_token_s: float | None = None


@dataclass(slots=True)
class ServiceMeter(Generic[K]):
    """Estimate what is ahead in the engine, and what a request will take.

    Prefill is taken to be done one request after another, decode side by side.
    """

    prefill_s_per_token: float = 0.00012
    decode_s_per_token: float = 0.02
    run_s: float = 1.0
    answer_share: float = 0.5
    """The share of their allowed tokens that answers use."""
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    outstanding_tokens: float = 0.0
    _running: dict[K, _Running] = field(default_factory=dict)
    _last_first_token_s: float = -1.0e9

    def prefill_tokens(self, blocks: tuple[int, ...], prompt_tokens: int, now_s: float) -> float:
        """Return the prompt's tokens less those expected to be cached."""
        cached = self.prefixes.expected_blocks(blocks, now_s) * BLOCK_TOKENS
        return max(prompt_tokens - cached, 1.0)

    def expected_run_s(self, prefill_tokens: float, max_tokens: int) -> float:
        """Return how long a request is expected to run once its prefill begins."""
        tokens = min(max_tokens * self.answer_share, MAX_EXPECTED_TOKENS)
        decode_s = tokens * self.decode_s_per_token
        return prefill_tokens * self.prefill_s_per_token + decode_s

    def next_s(self, slots: int) -> float:
        """Return when the next hand-over is expected to begin its prefill."""
        full = len(self._running) >= slots
        return self.backlog_s + (self.run_s / slots if full else 0.0)

    def wait_s(self, ahead: int, ahead_tokens: float, slots: int) -> float:
        """Return how long work waits for its prefill with so much ahead in the queue."""
        excess = max(0, len(self._running) + ahead + 1 - slots)
        prefill_s = ahead_tokens * self.prefill_s_per_token
        return self.backlog_s + max(prefill_s, excess * self.run_s / slots)

    @property
    def backlog_s(self) -> float:
        """Return how long the prefill that was handed over is expected to take."""
        return self.outstanding_tokens * self.prefill_s_per_token

    def record_start(self, key: K, blocks: tuple[int, ...], tokens: float, now_s: float) -> None:
        """Note a hand-over."""
        self._running[key] = _Running(now_s, tokens)
        self.outstanding_tokens += tokens
        self.prefixes.add(blocks, now_s)

    def record_first_token(self, key: K, now_s: float) -> None:
        """Note that a request's prefill is done, and learn from how long it took."""
        running = self._running.get(key)
        if running is None or running.first_token_s is not None:
            return
        running.first_token_s = now_s
        self.outstanding_tokens -= running.prefill_tokens
        took_s = now_s - max(running.started_s, self._last_first_token_s)
        self._last_first_token_s = now_s
        if running.prefill_tokens >= MIN_LEARN_TOKENS:
            rate = took_s / running.prefill_tokens
            self.prefill_s_per_token += LEARN_WEIGHT * (rate - self.prefill_s_per_token)

    def record_end(self, key: K, tokens: int, max_tokens: int, now_s: float) -> None:
        """Note a request's end, and learn from a whole answer."""
        running = self._running.pop(key, None)
        if running is None:
            return
        if running.first_token_s is None:
            self.outstanding_tokens -= running.prefill_tokens
        elif tokens >= MIN_ANSWER_TOKENS:
            rate = (now_s - running.first_token_s) / tokens
            self.decode_s_per_token += LEARN_WEIGHT * (rate - self.decode_s_per_token)
            self.run_s += LEARN_WEIGHT * (now_s - running.started_s - self.run_s)
            share = min(tokens / max(max_tokens, 1), 1.0)
            self.answer_share += LEARN_WEIGHT * (share - self.answer_share)


__all__ = ["MAX_EXPECTED_TOKENS", "ServiceMeter"]
