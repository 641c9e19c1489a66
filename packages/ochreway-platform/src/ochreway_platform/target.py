# SPDX-License-Identifier: Apache-2.0
"""Port to a target: a model engine or a plain service on the same instance as its agent."""

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
    """State that a target reports."""

    epoch: Epoch
    artifact: str
    loaded: bool
    cached: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    leaving: bool = False


NoticeHandler = Callable[[TargetNotice, bool], None]
"""Called with the notice in the head of each answer, and whether that answers a request."""


class Target(ABC):
    """Query the state of a target, send it orders, and run requests on it."""

    @abstractmethod
    def listen(self, on_notice: NoticeHandler) -> None:
        """Set the handler that receives the notices of all further answers."""

    @abstractmethod
    async def state(self) -> TargetReport:
        """Query what the target has loaded.

        Raises:
            TargetTurnedAway: if it requests a backoff.
            TargetUnreachable: if it does not answer.
        """

    @abstractmethod
    async def order(self, order: TargetOrder) -> None:
        """Order the target to load an artifact for a group.

        Raises:
            TargetTurnedAway: if it rejected the order and requests a backoff.
            TargetUnreachable: if it does not answer.
        """

    @abstractmethod
    async def ended(self) -> bool:
        """Return whether the target's process is known to have ended."""

    @abstractmethod
    def run(self, submit: Submit, allowed: Callable[[], bool]) -> AsyncIterator[Chunk]:
        """Yield the chunks of the answer; closing the iterator cancels the request.

        Args:
            submit: The request to run.
            allowed: Called immediately before the body is written; returns whether it may be.

        Raises:
            HandOverRefused: if it was no longer allowed; nothing was run.
            TargetTurnedAway: if the target did not start it; it may request a backoff.
            TargetUnreachable: if the target cannot have started it.
            TargetBroke: if the target failed, or its answer was incomplete.
        """


__all__ = ["Target", "TargetReport", "NoticeHandler"]
