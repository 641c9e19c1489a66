# SPDX-License-Identifier: Apache-2.0
"""Division of entries into those that poll the store and those that get versions from peers."""

import asyncio

from ochreway_core.peer import Peer
from ochreway_direct.configuration import Configuration
from ochreway_direct.coordinator import Coordinator
from ochreway_direct.entries.heartbeats import Heartbeats
from ochreway_direct.messages import ConfigurationRequest, ConfigurationUpdate
from ochreway_direct.serving import Serving
from ochreway_direct.timing import DirectTiming
from ochreway_wire.links import Links

MAX_FORWARDED_ROUTES = 300
"""Maximum number of routes of a configuration that is forwarded to peers.

It is decoded in one go, which takes some 7 ms at this size. A larger configuration is read from
the store by each entry, where it is decoded in slices.
"""


class VersionSharing:
    """Decide whether this entry polls the store, and forward versions to those that do not."""

    def __init__(
        self,
        serving: Serving,
        heartbeats: Heartbeats,
        links: Links,
        coordinator: Coordinator,
        timing: DirectTiming,
    ) -> None:
        self._serving = serving
        self._heartbeats = heartbeats
        self._links = links
        self._coordinator = coordinator
        self._timing = timing
        self._loop = asyncio.get_running_loop()

    def poll_wait_s(self) -> float | None:
        """Return how long a poll of the store may stay open, or None for no poll."""
        timing = self._timing
        if self._serving.routes is None:
            return timing.configuration_wait_s
        # For example after a pause: a long poll would prove the version too late.
        proof_is_old = (
            self._serving.freshness.age_s(self._loop.time()) > timing.configuration_max_proof_age_s
        )
        if proof_is_old:
            return 0.0
        if self._heartbeats.meshed:
            return timing.configuration_wait_s
        if self._heartbeats.reader:
            return timing.configuration_read_wait_s
        behind = self._heartbeats.newest_version > self._serving.version
        return 0.0 if behind else None

    def on_applied(self, configuration: Configuration) -> None:
        """Configure the coordinator by a new version, and forward it to the members of the cell."""
        self._coordinator.configure(configuration)
        if self._heartbeats.meshed or not self._heartbeats.head:
            return
        if len(configuration.routes) <= MAX_FORWARDED_ROUTES:
            members = self._heartbeats.members()
            self._links.send_all(members, ConfigurationUpdate(configuration))
        self._heartbeats.send(self._loop.time())

    def on_request(self, sender: Peer, request: ConfigurationRequest) -> None:
        """Send the version in force to an entry whose own is older."""
        routes = self._serving.routes
        if routes is not None and routes.version > request.than:
            self._links.send(sender, ConfigurationUpdate(routes.configuration))


__all__ = ["VersionSharing"]
