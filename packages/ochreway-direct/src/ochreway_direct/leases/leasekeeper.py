# SPDX-License-Identifier: Apache-2.0
"""The task that takes the lease when nobody holds it, and renews it."""

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

EPOCHS_PER_LEASE = 100_000
"""How many groups one holder of the lease may form before epochs would meet the next one's."""


class LeaseKeeper:
    """Keep the lease for this process, or be ready to take it.

    Args:
        spawn: runs a task until the process stops.
        taken: is told the epoch above which groups may be formed now.
        renewed: is told after each renewal, so that others hear of it at once.
        speaks: tells whether this process is in touch with all others; one that is not lets
            those that are take the lease first.
    """

    def __init__(
        self,
        lease: Lease,
        peers: Peers,
        serving: Serving,
        timing: DirectTiming,
        spawn: Callable[[Coroutine[None, None, None]], object],
        taken: Callable[[Epoch], None],
        renewed: Callable[[], None],
        speaks: Callable[[], bool],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._peers = peers
        self._serving = serving
        self._timing = timing
        self._spawn = spawn
        self._taken = taken
        self._renewed = renewed
        self._speaks = speaks
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._free_since_s = self._loop.time()
        self._observe_due_s = 0.0

    async def run(self) -> None:
        """Renew or take the lease until cancelled."""
        while True:
            await asyncio.sleep(self._timing.tick_s)
            now_s = self._loop.time()
            if self._serving.stopping or not self._lease.allowed(now_s):
                continue
            if self._lease.held:
                await self._renew(now_s)
            elif now_s >= self._observe_due_s and self._may_take(now_s):
                await self._take(now_s)

    def on_link_down(self, node: NodeId) -> None:
        """Find out whether the holder of the lease has ended, which its silence would tell late."""
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
            self._lease.note_ended(holder.node)
        except (TimeoutError, OSError):
            self._log.detail("holder_unreachable", holder=holder.node)

    async def _renew(self, now_s: float) -> None:
        if not self._lease.due(now_s):
            return
        self._metrics.count("lease.renewed")
        await self._lease.renew(now_s)
        if not self._lease.held:
            self._log.event("lease_lost", revision=self._lease.revision)
            return
        self._renewed()

    def _may_take(self, now_s: float) -> bool:
        """Tell whether the lease looks free: no holder is heard, and others go first by name."""
        if self._serving.routes is None or self._peers.holder(now_s) is not None:
            self._free_since_s = now_s
            return False
        wait_s = self._timing.lease_stagger_s * self._peers.rank(now_s)
        if not self._speaks():
            wait_s += self._timing.lease_member_wait_s
        if self._peers.is_isolated(now_s):
            wait_s = self._timing.lease_isolated_s
        return now_s - self._free_since_s >= wait_s

    def _unchanged_s(self) -> float:
        """Return for how long the row has to stand unchanged to be taken from its holder.

        One that was heard says so with each heartbeat. Of one that was never heard, as after
        everything was restarted, only its renewals can tell that it lives.
        """
        row = self._lease.row
        heard = row is not None and self._peers.was_ever_seen(row.holder.node)
        return self._timing.peer_silent_s if heard else self._timing.lease_unheard_s

    async def _take(self, now_s: float) -> None:
        self._metrics.count("lease.observed")
        await self._lease.observe(now_s)
        if not self._lease.free(now_s, self._unchanged_s()):
            self._observe_due_s = self._loop.time() + self._timing.lease_observed_again_s
            return
        if not await self._lease.take(now_s):
            self._free_since_s = self._loop.time()
            return
        self._log.event("lease_taken", revision=self._lease.taken_at)
        self._metrics.count("lease.taken")
        self._taken(Epoch(self._lease.taken_at * EPOCHS_PER_LEASE))


__all__ = ["LeaseKeeper"]
