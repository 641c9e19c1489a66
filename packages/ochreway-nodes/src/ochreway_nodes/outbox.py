# SPDX-License-Identifier: Apache-2.0
"""The effects that a node requests from its shell."""

from ochreway_core.effects import Count, Effect, Log, Send
from ochreway_core.peer import Peer


class Outbox:
    """Collect effects in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def send(self, peer: Peer, message: object) -> None:
        """Request that a message is sent."""
        self._effects.append(Send(peer, message))

    def count(self, name: str, amount: int = 1) -> None:
        """Request that a counter is increased."""
        self._effects.append(Count(name, amount))

    def log(self, event: str, **fields: object) -> None:
        """Request that an event is logged."""
        self._effects.append(Log(event, fields))

    def take(self) -> list[Effect]:
        """Return and clear the collected effects."""
        pending, self._effects = self._effects, []
        return pending


__all__ = ["Outbox"]
