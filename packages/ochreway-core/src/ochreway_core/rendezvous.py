# SPDX-License-Identifier: Apache-2.0
"""Rendezvous hashing: processes agree on an order without communication."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T", bound=str)


def weight(key: str, node: str) -> int:
    """Return the node's weight for the key."""
    return xxhash.xxh64_intdigest(f"{key}\0{node}".encode())


def rank(key: str, nodes: Iterable[T]) -> list[T]:
    """Order the nodes by their weight for the key, heaviest first."""
    return sorted(nodes, key=lambda node: weight(key, node), reverse=True)


__all__ = ["rank", "weight"]
