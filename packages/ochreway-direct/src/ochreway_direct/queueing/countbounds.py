# SPDX-License-Identifier: Apache-2.0
"""Bounds on counts in a heartbeat."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=str)

COUNT_BYTES = 8
"""Maximum encoded size of a count and of its key's length."""
MAX_ORGANISATIONS = 16
"""Maximum number of organisations whose requests are reported."""
ORGANISATIONS_MAX_BYTES = 380
"""Bound on the counts of organisations in a heartbeat."""


def bounded_counts(
    counts: Mapping[Key, int], order: Iterable[Key], max_bytes: int
) -> dict[Key, int]:
    """Return the counts that fit, in order; a key that does not fit is left out."""
    kept: dict[Key, int] = {}
    for key in order:
        size_bytes = len(key.encode()) + COUNT_BYTES
        if size_bytes <= max_bytes:
            max_bytes -= size_bytes
            kept[key] = counts[key]
    return kept


def bounded_organisations(counts: Mapping[str, int]) -> dict[str, int]:
    """Return the largest counts of organisations that a heartbeat holds."""
    order = sorted(counts, key=lambda name: (-counts[name], name))[:MAX_ORGANISATIONS]
    return bounded_counts(counts, order, ORGANISATIONS_MAX_BYTES)


__all__ = ["MAX_ORGANISATIONS", "bounded_counts", "bounded_organisations"]
