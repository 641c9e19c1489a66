# SPDX-License-Identifier: Apache-2.0
"""Task that acquires the lease when it has no holder, and renews it."""

import asyncio
from collections.abc import Callable, Coroutine

from ochreway_core.ids import Epoch, NodeId
from ochreway_core.peer import Peer
from ochreway_direct.entries.peers import Peers
from ochreway_direct.leases.lease import Lease
from ochreway_direct.serving import Serving
from ochreway_direct.timing import DirectTiming
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

EPOCHS_PER_REVISION = 100_000
"""Epochs that a holder may use; the next holder's epochs begin above these."""


class LeaseKeeper:
    """Hold the lease for this process, or acquire it when it becomes available.

    Args:
        spawn: runs a task until the process stops.
        on_acquired: called with the epoch above which groups may be formed now.
        on_renewed: called after the lease was acquired or renewed, to announce it to others at
            once.
        is_head: whether this process is in contact with all others. One that is not waits longer,
            so that those that are acquire the lease first.
    """

    def __init__(
        self,
        lease: Lease,
        peers: Peers,
        serving: Serving,
        timing: DirectTiming,
        spawn: Callable[[Coroutine[None, None, None]], object],
        on_acquired: Callable[[Epoch], None],
        on_renewed: Callable[[], None],
        is_head: Callable[[], bool],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._peers = peers
        self._serving = serving
        self._timing = timing
        self._spawn = spawn
        self._on_acquired = on_acquired
        self._on_renewed = on_renewed
        self._is_head = is_head
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._no_holder_since_s = self._loop.time()
        self._observe_due_s = 0.0
        self._was_held = False

    async def run(self) -> None:
        """Renew or acquire the lease until cancelled."""
        while True:
            await asyncio.sleep(self._timing.tick_s)
            now_s = self._loop.time()
            self._log_loss()
            if self._serving.stopping or not self._lease.may_retry(now_s):
                continue
            if self._lease.held:
                await self._renew(now_s)
            elif now_s >= self._observe_due_s and self._may_acquire(now_s):
                await self._acquire(now_s)

    def rest(self, until_s: float) -> None:
        """Acquire no lease until a time, as this process could not do its work."""
        self._observe_due_s = until_s

    def on_link_down(self, node: NodeId) -> None:
        """Check whether the lease holder has ended, which its silence alone would show late."""
        holder = self._peers.holder(self._loop.time())
        if holder is not None and holder.node == node:
            self._spawn(self._check_holder(holder))

    async def _check_holder(self, holder: Peer) -> None:
        host, _, port = holder.address.rpartition(":")
        try:
            async with asyncio.timeout(self._timing.probe_timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
        except ConnectionError:
            self._log.event("holder_ended", holder=holder.node)
            self._peers.on_process_ended(holder.node, self._loop.time())
            self._lease.record_ended(holder.node)
        except (TimeoutError, OSError):
            self._log.detail("holder_unreachable", holder=holder.node)

    async def _renew(self, now_s: float) -> None:
        if not self._lease.due(now_s):
            return
        self._metrics.count("lease.renewed")
        await self._lease.renew(now_s)
        if self._lease.held:
            self._on_renewed()

    def _log_loss(self) -> None:
        """Log that the lease was lost, to the table's or to other entries' knowledge."""
        if self._was_held and not self._lease.held and not self._serving.stopping:
            self._log.event("lease_lost", revision=self._lease.revision)
        self._was_held = self._lease.held

    def _may_acquire(self, now_s: float) -> bool:
        """Return whether no holder is seen and this process's turn by rank has come."""
        if self._serving.routes is None or self._peers.holder(now_s) is not None:
            self._no_holder_since_s = now_s
            return False
        wait_s = self._timing.lease_stagger_s * self._peers.rank(now_s)
        if not self._is_head():
            wait_s += self._timing.lease_member_wait_s
        if self._peers.is_isolated(now_s):
            wait_s = self._timing.lease_isolated_s
        return now_s - self._no_holder_since_s >= wait_s

    def _takeover_delay_s(self) -> float:
        """Return how long the row must be unchanged for the lease to be acquired from its holder.

        A holder that was seen announces the lease with each heartbeat. If a holder was never seen,
        as after a restart of all entries, only its renewals show that it runs.
        """
        row = self._lease.row
        was_seen = row is not None and self._peers.was_ever_seen(row.holder.node)
        return self._timing.peer_silent_s if was_seen else self._timing.lease_unseen_timeout_s

    async def _acquire(self, now_s: float) -> None:
        self._metrics.count("lease.observed")
        await self._lease.observe(now_s)
        if not self._lease.is_available(now_s, self._takeover_delay_s()):
            self._observe_due_s = self._loop.time() + self._timing.lease_observe_interval_s
            return
        if not await self._lease.acquire(now_s):
            self._no_holder_since_s = self._loop.time()
            return
        self._log.event("lease_taken", revision=self._lease.acquired_revision)
        self._metrics.count("lease.taken")
        self._on_acquired(Epoch(self._lease.acquired_revision * EPOCHS_PER_REVISION))
        self._on_renewed()


__all__ = ["LeaseKeeper"]
