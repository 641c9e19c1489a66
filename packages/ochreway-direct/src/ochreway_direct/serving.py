# SPDX-License-Identifier: Apache-2.0
"""Serving state of an entry: the configuration in force, its freshness, and the fleet."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.ids import NO_VERSION, Version
from ochreway_direct.bounds.resource import Resource
from ochreway_direct.configuration import CallerLimits, Configuration, Service
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.halls.homes import Homes
from ochreway_direct.queueing.queuereport import QueueReport
from ochreway_direct.versions.freshness import Freshness
from ochreway_direct.versions.routetable import RouteTable
from ochreway_runtime.looplag import LoopLag

MAX_PROOF_WAIT_S = 0.25
"""Maximum time that a call waits for a freshness proof delayed by this process's own stall.

The store answers a poll in some 5 ms, and the first one after a stall is sent at once.
"""
PROOF_POLL_INTERVAL_S = 0.01


@dataclass(slots=True)
class Serving:
    """Hold the newest known configuration, whose version never decreases, and the serving state.

    A process that is ``stopping`` still accepts requests until ``closes_s``, and none once it is
    ``closed``. ``sent_bytes`` counts what was sent to callers and targets, ``admitted`` the
    requests that were admitted, and ``proofs_awaited`` how often one waited for a proof of the
    configuration. While there are ``short_resources``, new callers should use other entries.
    ``lag`` measures the stalls of this process. ``queue_report`` tells what the queues report to
    other entries.
    """

    fleet: Fleet
    freshness: Freshness
    stopping: bool = False
    closed: bool = False
    closes_s: float = math.inf
    sent_bytes: int = 0
    admitted: int = 0
    proofs_awaited: int = 0
    short_resources: set[Resource] = field(default_factory=set)
    routes: RouteTable | None = field(default=None)
    homes: Homes = field(default_factory=lambda: Homes({}))
    lag: LoopLag | None = None
    queue_report: Callable[[], QueueReport] = QueueReport

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self.routes.version if self.routes is not None else NO_VERSION

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on what callers may send."""
        return self.routes.configuration.limits if self.routes is not None else CallerLimits()

    @property
    def services(self) -> tuple[Service, ...]:
        """Return the services in force."""
        return self.routes.configuration.services if self.routes is not None else ()

    @property
    def has_engines(self) -> bool:
        """Return whether groups of engines are needed to serve, or this is not known yet."""
        return self.routes is None or any(each.engine for each in self.services)

    def apply(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.routes = RouteTable(configuration)
        return True

    def accepts_requests(self) -> bool:
        """Return whether a request that is read now is served."""
        return not self.closed and asyncio.get_running_loop().time() < self.closes_s

    def keys_trusted(self) -> bool:
        """Return whether known keys may be accepted now."""
        return self.freshness.keys_trusted(asyncio.get_running_loop().time())

    async def wait_for_trusted_keys(self) -> bool:
        """Return whether known keys may be accepted, after waiting for a proof delayed by a stall.

        Without the wait, callers would be refused by an entry that can serve them in a moment.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + MAX_PROOF_WAIT_S
        trusted = self.keys_trusted()
        if not trusted and self._stall_explains_age(loop.time()):
            self.proofs_awaited += 1
            while not trusted and loop.time() < deadline_s:
                await asyncio.sleep(PROOF_POLL_INTERVAL_S)
                trusted = self.keys_trusted()
        return trusted

    def _stall_explains_age(self, now_s: float) -> bool:
        """Return whether the proof would be recent enough without this process's stalls since."""
        if self.lag is None:
            return False
        stalled_s = self.lag.stalled_since(self.freshness.proved_s, now_s)
        return self.freshness.proved(now_s - stalled_s)

    def proved(self) -> bool:
        """Return whether the configuration was recently proved to be the newest."""
        return self.freshness.proved(asyncio.get_running_loop().time())

    def ready(self, now_s: float) -> bool:
        """Return whether new connections should be sent to this entry."""
        known = self.routes is not None and self.freshness.keys_trusted(now_s)
        return known and not self.stopping and not self.short_resources


__all__ = ["Serving"]
