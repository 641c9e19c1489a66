# SPDX-License-Identifier: Apache-2.0
"""What an entry serves by: the configuration in force, its freshness, and the fleet."""

import asyncio
from dataclasses import dataclass, field

from ochreway_core.ids import NO_VERSION, Version
from ochreway_direct.bounds.resource import Resource
from ochreway_direct.configuration import CallerLimits, Configuration, Service
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.halls.homes import Homes
from ochreway_direct.versions.freshness import Freshness
from ochreway_direct.versions.routetable import RouteTable
from ochreway_runtime.looplag import LoopLag

MAX_PROOF_WAIT_S = 0.25
"""How long a call waits for a proof that only this process's own stall has delayed.

A question to the store is answered in some 5 ms, and the first one after a stall is asked at once.
"""
PROOF_POLL_INTERVAL_S = 0.01


@dataclass(slots=True)
class Serving:
    """Hold the newest configuration that was learned; it never goes back.

    A process that is ``stopping`` still takes requests for a while; once ``closed`` it takes none.
    ``sent_bytes`` counts what went to callers and targets, ``asked`` the requests admitted and
    ``proofs_awaited`` the times that one waited for a proof of the configuration. While
    the instance is ``short_of`` something, new callers are to go elsewhere. ``lag`` tells for how
    long this process itself stood still.
    """

    fleet: Fleet
    freshness: Freshness
    stopping: bool = False
    closed: bool = False
    sent_bytes: int = 0
    admitted: int = 0
    proofs_awaited: int = 0
    short_resources: set[Resource] = field(default_factory=set)
    routes: RouteTable | None = field(default=None)
    homes: Homes = field(default_factory=lambda: Homes({}))
    lag: LoopLag | None = None

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
        """Tell whether groups of engines are needed to serve, as far as is known."""
        return self.routes is None or any(each.engine for each in self.services)

    def apply(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.routes = RouteTable(configuration)
        return True

    def keys_trusted(self) -> bool:
        """Tell whether known keys may be let in now."""
        return self.freshness.keys_trusted(asyncio.get_running_loop().time())

    async def wait_for_trusted_keys(self) -> bool:
        """Tell whether known keys may be let in, once a proof that an own stall delays has come.

        Refused at once, callers would bear the delay of an entry that can serve them in a moment.
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
        """Tell whether the proof would be new enough, had this process not stood still since."""
        if self.lag is None:
            return False
        stalled_s = self.lag.since(self.freshness.proved_s, now_s)
        return self.freshness.proved(now_s - stalled_s)

    def proved(self) -> bool:
        """Tell whether the configuration is known to have been the newest lately."""
        return self.freshness.proved(asyncio.get_running_loop().time())

    def ready(self, now_s: float) -> bool:
        """Tell whether new connections are wanted."""
        known = self.routes is not None and self.freshness.keys_trusted(now_s)
        return known and not self.stopping and not self.short_resources


__all__ = ["Serving"]
