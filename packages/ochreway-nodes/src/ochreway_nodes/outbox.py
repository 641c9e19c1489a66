# SPDX-License-Identifier: Apache-2.0
"""The effects that a node has asked for since they were last taken."""

from ochreway_core.effects import Count, Effect, Log, Send
from ochreway_core.peer import Peer


class Outbox:
    """Collect effects in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Ask for an effect."""
        self._effects.append(effect)

    def send(self, peer: Peer, message: object) -> None:
        """Ask to send a message."""
        self._effects.append(Send(peer, message))

    def count(self, name: str, amount: int = 1) -> None:
        """Ask to add to a counter."""
        self._effects.append(Count(name, amount))

    def log(self, event: str, **fields: object) -> None:
        """Ask to log an event."""
        self._effects.append(Log(event, fields))

    def take(self) -> list[Effect]:
        """Return the effects and forget them."""
        pending, self._effects = self._effects, []
        return pending


__all__ = ["Outbox"]
