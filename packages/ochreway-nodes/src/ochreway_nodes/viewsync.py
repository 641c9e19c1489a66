# SPDX-License-Identifier: Apache-2.0
"""Exchange of configuration versions between processes."""

import zlib

from ochreway_core.bodydelta import apply_delta, delta_between
from ochreway_core.ids import BundleHash, NodeId, Version
from ochreway_core.messages import ViewDelta, ViewRequest, ViewUpdate
from ochreway_core.peer import Peer
from ochreway_core.view import MAX_BODY_BYTES, Snapshot, View, make_snapshot
from ochreway_nodes.outbox import Outbox

REQUEST_RETRY_DELAY_S = 0.3
"""Minimum interval between requests for a newer version."""


class ViewSync:
    """Request newer versions from peers that have them, one at a time, and answer requests.

    A version is only sent on request: a process learns of a new version from many peers at once,
    and transferring the body is the expensive part.
    """

    def __init__(self, view: View, outbox: Outbox) -> None:
        self.view = view
        self._outbox = outbox
        self._peer_versions: dict[NodeId, Version] = {}
        self._last_request_s = -1.0e9

    def on_peer_version(self, sender: Peer, version: Version, now_s: float) -> None:
        """Record the version that a message carried, and request it if it is newer."""
        self._peer_versions[sender.node] = version
        if version > self.view.version:
            self._request_view(sender, now_s)

    def version_of(self, node: NodeId) -> Version:
        """Return the version that the node's last message carried, 0 if there was none."""
        return self._peer_versions.get(node, Version(0))

    def on_request(self, sender: Peer, request: ViewRequest, now_s: float) -> None:
        """Send the version in force, as a delta if the base that the sender has is known here."""
        snapshot = self.view.snapshot
        if snapshot is None:
            return
        base = self.view.body_of(request.have)
        if base is None:
            self._outbox.send(sender, ViewUpdate(snapshot))
            return
        delta = delta_between(base, snapshot.body)
        message = ViewDelta(request.have, snapshot.roll, snapshot.approvals, delta)
        self._outbox.send(sender, message)

    def snapshot_from(self, message: ViewDelta) -> Snapshot | None:
        """Rebuild a version from a delta; None if the base is unknown or the delta corrupt."""
        base = self.view.body_of(message.base)
        if base is None:
            self._outbox.count("configuration.no_base")
            return None
        try:
            body = apply_delta(base, message.delta, MAX_BODY_BYTES)
        except zlib.error:
            self._outbox.count("configuration.rejected")
            return None
        return make_snapshot(message.roll, body, message.approvals)

    def apply(self, snapshot: Snapshot, now_s: float) -> bool:
        """Put a version in force if it is newer and approved; return whether it was."""
        result = self.view.apply(snapshot, now_s)
        if result.is_err():
            self._outbox.count("configuration.rejected")
            self._outbox.log(
                "configuration_rejected",
                version=snapshot.roll.version,
                fault=result.unwrap_err(),
            )
            return False
        if result.unwrap():
            self._outbox.count("configuration.applied")
            self._outbox.log("configuration_applied", version=self.view.version)
        return result.unwrap()

    def _request_view(self, sender: Peer, now_s: float) -> None:
        if now_s - self._last_request_s >= REQUEST_RETRY_DELAY_S:
            self._last_request_s = now_s
            snapshot = self.view.snapshot
            have = snapshot.roll.bundle if snapshot else BundleHash("")
            self._outbox.send(sender, ViewRequest(have))


__all__ = ["ViewSync"]
