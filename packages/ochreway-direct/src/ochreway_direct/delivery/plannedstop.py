# SPDX-License-Identifier: Apache-2.0
"""The planned stop of an entry."""

import asyncio
from collections.abc import Sequence

from aiohttp import web

from ochreway_direct.delivery.stopsteps import StopSteps
from ochreway_direct.entry import DirectEntry
from ochreway_direct.relay.callerprotocol import CallerProtocol
from ochreway_direct.relay.relay import Relay

STOP_POLL_S = 0.1
CLOSE_RESERVE_S = 0.8
"""Part of the grace period that is left for closing connections and ending the parts."""
LINGER_S = 2.8
"""How long a stopping entry accepts requests, as new and open connections still bring some."""
CLOSE_IDLE_S = 0.2
CLOSE_POLL_S = 0.01


class PlannedStop:
    """Serve until every caller has its answer, within the grace period, and close everything.

    Links to other entries, the configuration and the list are followed until the last caller has
    its answer, as calls depend on them.
    """

    def __init__(self, entry: DirectEntry, relay: Relay, requested_s: float | None = None) -> None:
        """Prepare a stop whose grace period began at ``requested_s``, by default now."""
        self._entry = entry
        self._relay = relay
        self._loop = asyncio.get_running_loop()
        now_s = self._loop.time()
        self._steps = StopSteps(self._loop.time, now_s if requested_s is None else requested_s)

    async def run(self, callers: web.ServerRunner, others: Sequence[web.ServerRunner]) -> None:
        """Stop, and log how long each step took and what it cut.

        The listeners of ``callers`` are closed first, and ``others`` last.
        """
        deliveries = self._relay.deliveries
        broken_before = deliveries.broken_count
        self._entry.serving.stopping = True
        self._entry.log.event("stopping", open_calls=self._relay.open_calls)
        # Not awaited first, as a slow store would let this entry accept requests for longer.
        releasing = asyncio.create_task(self._release())
        with self._steps.step("drain"):
            await self.drain()
        left = {"open_calls": self._relay.open_calls, "unsent_bytes": deliveries.unsent_bytes()}
        with self._steps.step("close"):
            await self._close_idle(callers)
            await asyncio.gather(*(runner.cleanup() for runner in (callers, *others)))
        await releasing
        with self._steps.step("parts"):
            await self._entry.stop()
        cut = deliveries.broken_count - broken_before
        self._entry.log.event("stopped", **left, cut=cut, **self._steps.fields())

    async def _release(self) -> None:
        with self._steps.step("release"):
            await self._entry.release_lease()

    async def drain(self) -> None:
        """Keep serving until every caller has its answer, within the grace period."""
        closes_s = self._entry.serving.closes_s = self._steps.begun_s + LINGER_S
        end_s = self._steps.begun_s + self._entry.settings.grace_s - CLOSE_RESERVE_S
        while self._loop.time() < end_s:
            await asyncio.sleep(STOP_POLL_S)
            if self._loop.time() >= closes_s and self._is_all_delivered():
                return

    async def _close_idle(self, callers: web.ServerRunner) -> None:
        """Stop listening, and close each connection that no request is on.

        The server's own shutdown drops what arrives on connections that it has not closed yet.
        """
        self._entry.serving.closed = True
        for site in list(callers.sites):
            await site.stop()
        assert callers.server is not None
        end_s = self._loop.time() + CLOSE_IDLE_S
        while self._loop.time() < end_s:
            await asyncio.sleep(CLOSE_POLL_S)
            connections = [c for c in callers.server.connections if isinstance(c, CallerProtocol)]
            if all([connection.close_if_idle() for connection in connections]):
                return

    def _is_all_delivered(self) -> bool:
        return not self._relay.open_calls and not self._relay.deliveries.unsent_bytes()


__all__ = ["PlannedStop"]
