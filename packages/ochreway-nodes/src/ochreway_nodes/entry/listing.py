# SPDX-License-Identifier: Apache-2.0
"""The platform's list as an entry knows it, and the updates sent to its followers."""

from collections.abc import Iterable, Mapping

import xxhash

from ochreway_core.ids import NodeId
from ochreway_core.listing import ListedInstance
from ochreway_core.messages import ListingUpdate

Listing = Mapping[NodeId, ListedInstance]


def listing_of(instances: Iterable[ListedInstance]) -> Listing:
    """Return the instances by name."""
    return {instance.node: instance for instance in instances}


def digest_of(listing: Listing) -> int:
    """Return a digest of the list, 0 for an empty one."""
    if not listing:
        return 0
    return xxhash.xxh32_intdigest(repr(sorted(listing.items())).encode()) or 1


def difference(known: Listing, now: Listing) -> ListingUpdate:
    """Return the update from a known list to the current one."""
    changed = tuple(instance for node, instance in now.items() if known.get(node) != instance)
    removed = tuple(node for node in known if node not in now)
    return ListingUpdate(not known, changed, removed)


def apply_listing_update(known: Listing, update: ListingUpdate) -> Listing:
    """Return the list after an update."""
    instances_by_node = {} if update.whole else dict(known)
    instances_by_node.update(listing_of(update.instances))
    for node in update.gone:
        instances_by_node.pop(node, None)
    return instances_by_node


__all__ = ["Listing", "apply_listing_update", "difference", "digest_of", "listing_of"]
