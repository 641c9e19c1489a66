# SPDX-License-Identifier: Apache-2.0
"""The platform's list as an entry knows it, and what of it to tell others."""

from collections.abc import Iterable, Mapping

import xxhash

from ochreway_core.ids import NodeId
from ochreway_core.listing import ListedInstance
from ochreway_core.messages import ListingUpdate

Listing = Mapping[NodeId, ListedInstance]


def listing_of(instances: Iterable[ListedInstance]) -> Listing:
    """Return the instances by name."""
    return {each.node: each for each in instances}


def digest_of(listing: Listing) -> int:
    """Return a number that two equal lists share, 0 for an empty one."""
    if not listing:
        return 0
    return xxhash.xxh32_intdigest(repr(sorted(listing.items())).encode()) or 1


def difference(known: Listing, now: Listing) -> ListingUpdate:
    """Return what turns one list into the other."""
    changed = tuple(each for node, each in now.items() if known.get(node) != each)
    gone = tuple(node for node in known if node not in now)
    return ListingUpdate(not known, changed, gone)


def applied(known: Listing, update: ListingUpdate) -> Listing:
    """Return the list after an update."""
    kept = {} if update.whole else dict(known)
    kept.update(listing_of(update.instances))
    for node in update.gone:
        kept.pop(node, None)
    return kept


__all__ = ["Listing", "applied", "difference", "digest_of", "listing_of"]
