# SPDX-License-Identifier: Apache-2.0
"""How a node keeps up with the version that others show, and shows its own."""

from ochreway_core.ids import NodeId, Version
from ochreway_core.messages import ViewRequest, ViewUpdate
from ochreway_core.peer import Peer
from ochreway_core.view import Snapshot, View
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
        self._pushed: dict[NodeId, tuple[Version, float]] = {}
        self._asked_s = -1.0e9

    def seen(self, sender: Peer, version: Version, now_s: float) -> None:
        """Compare the version that a message carried with the one in force here."""
        self._shown[sender.node] = version
        if version > self.view.version:
            self._ask(sender, now_s)

    def shown_by(self, node: NodeId) -> Version:
        """Return the version that the node's last message carried."""
        return self._shown.get(node, Version(0))

    def push(self, peer: Peer, now_s: float) -> None:
        """Send the version in force, not again before a while."""
        snapshot = self.view.snapshot
        if snapshot is None:
            return
        version, pushed_s = self._pushed.get(peer.node, (Version(0), -1.0e9))
        if version == self.view.version and now_s - pushed_s < ASK_AGAIN_S:
            return
        self._pushed[peer.node] = (self.view.version, now_s)
        self._outbox.send(peer, ViewUpdate(snapshot))

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
            self._outbox.send(sender, ViewRequest())


__all__ = ["ViewSpread"]
