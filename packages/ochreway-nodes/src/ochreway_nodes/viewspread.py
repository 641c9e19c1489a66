# SPDX-License-Identifier: Apache-2.0
"""How a node keeps up with the version that others show, and shows its own."""

import zlib

from ochreway_core.bodydelta import apply_delta, delta_between
from ochreway_core.ids import BundleHash, NodeId, Version
from ochreway_core.messages import ViewDelta, ViewRequest, ViewUpdate
from ochreway_core.peer import Peer
from ochreway_core.view import MAX_BODY_BYTES, Snapshot, View, make_snapshot
from ochreway_nodes.outbox import Outbox

ASK_AGAIN_S = 0.3


class ViewSpread:
    """Ask whoever shows a newer version, one at a time, and answer those who ask.

    Nobody is sent a version unasked: a process hears of it from many at once, and the body
    is what costs.
    """

    def __init__(self, view: View, outbox: Outbox) -> None:
        self.view = view
        self._outbox = outbox
        self._shown: dict[NodeId, Version] = {}
        self._asked_s = -1.0e9

    def seen(self, sender: Peer, version: Version, now_s: float) -> None:
        """Compare the version that a message carried with the one in force here."""
        self._shown[sender.node] = version
        if version > self.view.version:
            self._ask(sender, now_s)

    def shown_by(self, node: NodeId) -> Version:
        """Return the version that the node's last message carried."""
        return self._shown.get(node, Version(0))

    def on_request(self, sender: Peer, request: ViewRequest, now_s: float) -> None:
        """Send the version in force, as a difference where the asker has what it is from."""
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
        """Put a version together from a difference, or note that its base is not here."""
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
        """Put a version in force if it is newer and signed off."""
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

    def _ask(self, sender: Peer, now_s: float) -> None:
        if now_s - self._asked_s >= ASK_AGAIN_S:
            self._asked_s = now_s
            snapshot = self.view.snapshot
            have = snapshot.roll.bundle if snapshot else BundleHash("")
            self._outbox.send(sender, ViewRequest(have))


__all__ = ["ViewSpread"]
