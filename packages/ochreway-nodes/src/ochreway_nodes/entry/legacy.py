# SPDX-License-Identifier: Apache-2.0
"""Targets that the operators' old tools still run, as the router sees them."""

from ochreway_core.bundle import Bundle, Model
from ochreway_core.ids import GroupId, NodeId
from ochreway_core.peer import Peer
from ochreway_routing.replica import ReplicaView

LEGACY_PREFIX = "legacy:"
ASSUMED_SLOTS = 64


def legacy_replicas(bundle: Bundle) -> list[ReplicaView]:
    """Return a replica for each target that gets a share of a model's requests."""
    return [replica for model in bundle.model for replica in _model_replicas(model)]


def _model_replicas(model: Model) -> list[ReplicaView]:
    if model.legacy is None or not model.legacy.share_percent:
        return []
    return [_replica(model, url, model.legacy.share_percent) for url in model.legacy.targets]


def _replica(model: Model, url: str, percent: int) -> ReplicaView:
    return ReplicaView(
        group=GroupId(f"{LEGACY_PREFIX}{model.name}:{url}"),
        target=model.name,
        leader=Peer(NodeId(LEGACY_PREFIX + url), url),
        slots=ASSUMED_SLOTS,
        adapters=frozenset(model.adapters),
        legacy_percent=percent,
    )


def is_legacy(peer: Peer) -> bool:
    """Tell whether the peer stands for a target of the old tools."""
    return peer.node.startswith(LEGACY_PREFIX)


__all__ = ["is_legacy", "legacy_replicas"]
