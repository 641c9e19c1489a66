# SPDX-License-Identifier: Apache-2.0
"""A replica's service rates, as its leader measures them on handed-over requests."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ochreway_routing.prefix import BLOCK_TOKENS
from ochreway_routing.prefixindex import PrefixIndex

K = TypeVar("K")

LEARN_WEIGHT = 0.1
"""Weight of a new sample in the moving averages."""
MIN_LEARN_TOKENS = 32
"""Shortest prefill that updates the prefill rate."""
MIN_ANSWER_TOKENS = 2
"""Shortest answer that updates the decode rate."""
MAX_EXPECTED_TOKENS = 512
"""Bound on the tokens expected of an answer; callers often allow far more than they get."""


@dataclass(slots=True)
class _Running:
    started_s: float
    prefill_tokens: float
    first_token_s: float | None = None


@dataclass(slots=True)
class ServiceMeter(Generic[K]):
    """Estimate the engine's backlog and how long a request takes.

    Prefill is assumed to run one request after another, decode concurrently.
    """

    prefill_s_per_token: float = 0.00012
    decode_s_per_token: float = 0.02
    run_s: float = 1.0
    answer_share: float = 0.5
    """Fraction of the allowed tokens that answers use."""
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    outstanding_tokens: float = 0.0
    _running: dict[K, _Running] = field(default_factory=dict)
    _last_first_token_s: float = -1.0e9

    def prefill_tokens(self, blocks: tuple[int, ...], prompt_tokens: int, now_s: float) -> float:
        """Return the prompt's tokens minus those expected to be cached."""
        cached = self.prefixes.expected_blocks(blocks, now_s) * BLOCK_TOKENS
        return max(prompt_tokens - cached, 1.0)

    def expected_run_s(self, prefill_tokens: float, max_tokens: int) -> float:
        """Return how long a request is expected to run once its prefill begins."""
        tokens = min(max_tokens * self.answer_share, MAX_EXPECTED_TOKENS)
        decode_s = tokens * self.decode_s_per_token
        return prefill_tokens * self.prefill_s_per_token + decode_s

    def next_s(self, slots: int) -> float:
        """Return after what time the next hand-over is expected to begin its prefill."""
        full = len(self._running) >= slots
        return self.backlog_s + (self.run_s / slots if full else 0.0)

    def wait_s(self, ahead: int, ahead_tokens: float, slots: int) -> float:
        """Return how long work waits for its prefill behind the given queue."""
        excess = max(0, len(self._running) + ahead + 1 - slots)
        prefill_s = ahead_tokens * self.prefill_s_per_token
        return self.backlog_s + max(prefill_s, excess * self.run_s / slots)

    @property
    def backlog_s(self) -> float:
        """Return how long the handed-over prefill is expected to take."""
        return self.outstanding_tokens * self.prefill_s_per_token

    def record_start(self, key: K, blocks: tuple[int, ...], tokens: float, now_s: float) -> None:
        """Record that a request was handed over."""
        self._running[key] = _Running(now_s, tokens)
        self.outstanding_tokens += tokens
        self.prefixes.add(blocks, now_s)

    def record_first_token(self, key: K, now_s: float) -> None:
        """Record the end of a request's prefill and update the prefill rate."""
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
        """Record a request's end; update the decode rate if it got past its first token."""
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
