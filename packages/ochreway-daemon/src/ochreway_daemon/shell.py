# SPDX-License-Identifier: Apache-2.0
"""Process shell of a node: delivers events to the node and performs its effects."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from ochreway_core import invariants
from ochreway_core.effects import Count, Effect, Log, Send
from ochreway_core.ids import NodeId, Version
from ochreway_core.peer import Peer
from ochreway_core.timing import Timing
from ochreway_daemon.clients import MEMORY_CHECK_INTERVAL_S, DaemonClients
from ochreway_daemon.settings import CommonSettings
from ochreway_daemon.tls import client_context, server_context
from ochreway_runtime.clients.clientaccount import CHECK_INTERVAL_S
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from ochreway_runtime.supervisor import Supervisor
from ochreway_runtime.timer import TimerService
from ochreway_wire.batch import Batch
from ochreway_wire.links import Links, LinkSettings

EventHandler = Callable[[float], None]
EffectHandler = Callable[[Any], None]


class Node(Protocol):
    """Interface that a shell requires of a node."""

    @property
    def version(self) -> Version:
        """Return the current configuration version."""

    def take(self) -> list[Effect]:
        """Return and clear the effects that the node requests."""

    def on_message(self, sender: Peer, version: Version, message: object, now_s: float) -> None:
        """Handle a message from another process."""

    def on_tick(self, now_s: float) -> None:
        """Perform the actions that are due."""


class Shell:
    """Run one node with its mailbox, links, timer and counters."""

    def __init__(
        self,
        settings: CommonSettings,
        me: Peer,
        node: Node,
        timing: Timing,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.me = me
        self.log = log
        self.metrics = metrics
        self.timing = timing
        self.clients = DaemonClients(settings, log, metrics)
        self.supervisor = Supervisor(log, metrics)
        self.timer = TimerService(timing.tick_s / 2, self.supervisor)
        self.links = Links(
            me,
            LinkSettings(
                settings.link_key.encode(),
                settings.link_tick_s,
                server_context(settings),
                client_context(settings),
            ),
            lambda: node.version,
            self._on_batch,
            self._handle_link_down,
            on_error=self.supervisor.report,
            on_unproven=lambda: metrics.count("link.unproven"),
        )
        self.effects: dict[type, EffectHandler] = {
            Send: self._send,
            Count: lambda effect: metrics.count(effect.name, effect.amount),
            Log: lambda effect: log.event(effect.event, **effect.fields),
        }
        self._node = node
        self._mailbox: deque[EventHandler] = deque()
        self._mailbox_filled = asyncio.Event()
        invariants.set_reporter(self._on_invariant_violated)

    def _on_invariant_violated(self, invariant: invariants.Invariant, detail: str) -> None:
        self.metrics.count(f"invariant.{invariant.value}")
        self.log.fault("invariant_violated", invariant=invariant.value, detail=detail)

    def post(self, event: EventHandler) -> None:
        """Put an event into the node's mailbox."""
        self._mailbox.append(event)
        self._mailbox_filled.set()

    def spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start a task that runs until it ends or the process stops."""
        return self.supervisor.spawn(coroutine)

    def _send(self, effect: Send) -> None:
        self.links.send(effect.peer, effect.message)

    def _on_batch(self, sender: Peer, batch: Batch) -> None:
        def handle(now_s: float) -> None:
            for message in batch.messages:
                self._node.on_message(sender, batch.version, message, now_s)

        self.post(handle)

    def _handle_link_down(self, node: NodeId) -> None:
        self.metrics.count("link.down")
        self.log.detail("link_down", peer=node)
        self.on_link_down(node)

    def on_link_down(self, node: NodeId) -> None:
        """Notify the node of a lost link; does nothing unless overridden."""

    async def run_mailbox(self) -> None:
        """Handle events one at a time and perform the effects of each.

        An event that fails is reported, and does not keep the next one from being handled.
        """
        loop = asyncio.get_running_loop()
        handle = self.supervisor.guard("event", self._handle)
        while True:
            await self._mailbox_filled.wait()
            self._mailbox_filled.clear()
            while self._mailbox:
                handle(self._mailbox.popleft(), loop.time())

    def _handle(self, event: EventHandler, now_s: float) -> None:
        event(now_s)
        for effect in self._node.take():
            self.effects[type(effect)](effect)

    async def start(self) -> None:
        """Accept links and start the mailbox and the timer."""
        host, _, port = self.settings.link_listen.rpartition(":")
        await self.links.listen(host, int(port))
        self.timer.every(self.timing.tick_s, lambda _: self.post(self._node.on_tick))
        self.timer.every(CHECK_INTERVAL_S, self.clients.account.check)
        self.timer.every(MEMORY_CHECK_INTERVAL_S, self.clients.check_memory)
        self.supervisor.watch_loop()
        self.supervisor.keep("mailbox", self.run_mailbox)
        self.supervisor.keep("timer", self.timer.run)

    async def stop(self) -> None:
        """Close the links and cancel all tasks."""
        await self.links.close()
        self.supervisor.cancel_all()


__all__ = ["Node", "Shell"]
