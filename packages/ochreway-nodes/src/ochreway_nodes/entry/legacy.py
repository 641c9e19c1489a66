# SPDX-License-Identifier: Apache-2.0
"""Targets run by the operators' former tools, as replicas for the router."""

from ochreway_core.bundle import Bundle, Model
from ochreway_core.ids import GroupId, NodeId
from ochreway_core.peer import Peer
from ochreway_routing.replica import ReplicaView

LEGACY_PREFIX = "legacy:"
ASSUMED_SLOTS = 64
"""Number of slots that each legacy target is assumed to have."""


def legacy_replicas(bundle: Bundle) -> list[ReplicaView]:
    """Return a replica for each legacy target of a model with a legacy share."""
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
    """Return whether the peer represents a legacy target."""
    return peer.node.startswith(LEGACY_PREFIX)


__all__ = ["is_legacy", "legacy_replicas"]
