# SPDX-License-Identifier: Apache-2.0
"""Process shell of an agent: performs the I/O of its node."""

import asyncio

from ochreway_core.attemptid import AttemptId
from ochreway_core.chunk import Chunk
from ochreway_core.effects import CancelWork, HandOver, OrderTarget
from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_core.timing import Timing
from ochreway_daemon.settings import AgentSettings
from ochreway_daemon.shell import Shell
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.targetstate import TargetState
from ochreway_platform.errors import (
    HandOverRefused,
    TargetBroke,
    TargetTurnedAway,
    TargetUnreachable,
)
from ochreway_platform.target import Target
from ochreway_runtime import steadyclock
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

STATE_POLL_S = 0.25
WINDOW_POLL_S = 0.005


class AgentShell(Shell):
    """Access the target on behalf of the node."""

    def __init__(
        self,
        settings: AgentSettings,
        node: AgentNode,
        target: Target,
        timing: Timing,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        me = Peer(NodeId(settings.name), settings.link_listen)
        super().__init__(settings, me, node, timing, log, metrics)
        self.node = node
        self._target = target
        self._running: dict[AttemptId, asyncio.Task[None]] = {}
        self._polling = False
        self.effects[HandOver] = self._hand_over
        self.effects[CancelWork] = self._cancel_work
        self.effects[OrderTarget] = self._order_target
        target.listen(self._on_notice)

    async def start(self) -> None:
        """Start the shell and the polling of the target."""
        await super().start()
        self.timer.every(STATE_POLL_S, lambda _: self._poll_state())

    # The target's state

    def _on_notice(self, notice: TargetNotice, to_request: bool) -> None:
        if notice is not NO_NOTICE or (to_request and self.node.has_limit):
            self.post(lambda now_s: self.node.on_target_notice(notice, now_s, to_request))

    def _poll_state(self) -> None:
        if self._polling:
            return
        self._polling = True
        may_query = self.node.may_poll(asyncio.get_running_loop().time())
        self.spawn(self._read_state() if may_query else self._check_target_process())

    async def _check_target_process(self) -> None:
        """Check whether the process of a target in backoff still runs, without a request to it."""
        try:
            ended = await self._target.ended()
        finally:
            self._polling = False
        self.post(lambda now_s: self.node.on_target_process_state(ended, now_s))

    async def _read_state(self) -> None:
        loop = asyncio.get_running_loop()
        queried_s = loop.time()
        try:
            report = await self._target.state()
        except (TargetUnreachable, TargetTurnedAway):
            self.metrics.count("target.unreachable")
            return
        finally:
            self._polling = False
        state = TargetState(report.epoch, report.artifact, report.loaded, queried_s, report.leaving)
        self.post(lambda _: self.node.on_target_state(state))
        if report.cached or report.evicted:
            cached, evicted = list(report.cached), list(report.evicted)
            self.post(lambda _: self.node.loads.on_cache_events(cached, evicted))

    def _order_target(self, effect: OrderTarget) -> None:
        self.spawn(self._send_order(effect))

    async def _send_order(self, effect: OrderTarget) -> None:
        if not self.node.may_order(effect, asyncio.get_running_loop().time()):
            self.metrics.count("order.late")
            return
        order = effect.order
        self.log.event(
            "target_ordered", group=order.group, epoch=order.epoch, artifact=order.artifact
        )
        try:
            await self._target.order(order)
        except (TargetUnreachable, TargetTurnedAway) as error:
            self.metrics.count("order.failed")
            self.log.event("target_order_failed", epoch=order.epoch, cause=error)

    # Requests

    def _hand_over(self, effect: HandOver) -> None:
        attempt = effect.submit.attempt
        task = self.spawn(self._run(effect))
        self._running[attempt] = task
        task.add_done_callback(lambda _: self._running.pop(attempt, None))

    async def _run(self, effect: HandOver) -> None:
        submit = effect.submit
        attempt = submit.attempt
        began_s = steadyclock.now_s()
        self.log.detail("handed_over", request=submit.request, attempt=attempt)
        try:
            async for chunk in self._target.run(submit, lambda: self._may_hand_over(effect)):
                self._post_chunk(attempt, chunk)
                while not self.node.serving.may_read(attempt):
                    await asyncio.sleep(WINDOW_POLL_S)
        except HandOverRefused:
            self.post(lambda now_s: self.node.on_hand_over_missed(attempt, now_s))
        except TargetTurnedAway as error:
            self.log.event("turned_away", request=submit.request, cause=error)
            self.post(lambda now_s: self.node.on_turned_away(attempt, now_s))
        except TargetUnreachable:
            self.post(lambda now_s: self.node.on_target_failed(attempt, False, now_s))
        except TargetBroke as error:
            ended = await self._target.ended()
            self.log.event("target_broke", request=submit.request, fault=error, ended=ended)
            self.post(lambda now_s: self.node.on_target_failed(attempt, True, now_s, ended))
        took_s = steadyclock.now_s() - began_s
        self.metrics.timing("target.total", took_s)
        self.log.event(
            "attempt_ended", request=submit.request, attempt=attempt, took_s=f"{took_s:.4f}"
        )

    def _may_hand_over(self, effect: HandOver) -> bool:
        return self.node.may_hand_over(effect, asyncio.get_running_loop().time())

    def _post_chunk(self, attempt: AttemptId, chunk: Chunk) -> None:
        self.post(lambda now_s: self.node.on_chunk(attempt, chunk, now_s))

    def _cancel_work(self, effect: CancelWork) -> None:
        task = self._running.get(effect.attempt)
        if task is not None:
            task.cancel()

    # Planned stop

    async def drain(self) -> bool:
        """Accept no new work and wait for running work; return False on timeout."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.settings.drain_timeout_s
        self.post(self.node.leave)
        while loop.time() < end_s:
            await asyncio.sleep(self.timing.tick_s)
            if self.node.may_stop(loop.time()):
                return True
        return False


__all__ = ["AgentShell"]
