# SPDX-License-Identifier: Apache-2.0
"""Simulated group that reads prompts one after the other and generates answers concurrently."""

from ochreway_direct.configuration import EngineSpec
from ochreway_standins.grouplab.request import Request


class GroupServer:
    """Requests of one group; those beyond its slots wait."""

    def __init__(self, spec: EngineSpec, pace: float) -> None:
        self._spec = spec
        self.pace = pace
        self.running: list[Request] = []

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self.running)

    def tick(self, now_s: float, duration_s: float) -> list[Request]:
        """Advance by ``duration_s`` and return the requests whose answers are complete."""
        active = self.running[: self._spec.slots]
        readable_tokens = duration_s * self._spec.read_tokens_per_s / self.pace
        generating = [each for each in active if each.prompt_tokens_left <= 0]
        for each in active:
            read = min(readable_tokens, each.prompt_tokens_left)
            each.prompt_tokens_left -= read
            readable_tokens -= read
        tokens = duration_s / (self.pace * self._spec.token_s(max(1, len(generating))))
        for each in generating:
            each.answer_tokens_left -= tokens
            each.first_part_tokens_left -= tokens
            if each.first_part_s is None and each.first_part_tokens_left <= 0:
                each.first_part_s = now_s
        ended = [each for each in generating if each.answer_tokens_left <= 0]
        for each in ended:
            each.first_part_s = each.first_part_s if each.first_part_s is not None else now_s
        self.running = [each for each in self.running if each not in ended]
        return ended


__all__ = ["GroupServer"]
