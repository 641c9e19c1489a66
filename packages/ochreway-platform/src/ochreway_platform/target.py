# SPDX-License-Identifier: Apache-2.0
"""A target: a model engine or a plain service, beside its agent."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from ochreway_core.chunk import Chunk
from ochreway_core.ids import Epoch
from ochreway_core.messages.requests import Submit
from ochreway_core.targetnotice import TargetNotice
from ochreway_core.targetorder import TargetOrder


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Hold what a target says of itself."""

    epoch: Epoch
    artifact: str
    loaded: bool
    cached: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    leaving: bool = False


NoticeHandler = Callable[[TargetNotice, bool], None]
"""Told what the head of each answer says of the target, and whether it answers a request."""


class Target(ABC):
    """Ask a target for its state, order it, and have it run requests."""

    @abstractmethod
    def listen(self, on_notice: NoticeHandler) -> None:
        """Have a part told of the notices in all answers from now on."""

    @abstractmethod
    async def state(self) -> TargetReport:
        """Return what the target has loaded.

        Raises:
            TargetTurnedAway: when it asks to be left alone for a while.
            TargetUnreachable: when it does not answer.
        """

    @abstractmethod
    async def order(self, order: TargetOrder) -> None:
        """Make the target load what the order says.

        Raises:
            TargetTurnedAway: when it did not take it and asks to be left alone for a while.
            TargetUnreachable: when it does not answer.
        """

    @abstractmethod
    async def ended(self) -> bool:
        """Tell whether the target's process has ended, as far as can be told."""

    @abstractmethod
    def run(self, submit: Submit, allowed: Callable[[], bool]) -> AsyncIterator[Chunk]:
        """Yield the answer's pieces; closing the iterator cancels the work.

        Args:
            submit: what to run.
            allowed: asked at the last moment before the body is written.

        Raises:
            HandOverRefused: when it was not allowed any more, and nothing was run.
            TargetTurnedAway: when it says that it did not begin, and perhaps when to come back.
            TargetUnreachable: when the target cannot have begun.
            TargetBroke: when it broke off, or its answer was not whole.
        """


__all__ = ["Target", "TargetReport", "NoticeHandler"]
