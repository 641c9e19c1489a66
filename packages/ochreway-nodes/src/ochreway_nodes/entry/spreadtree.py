# SPDX-License-Identifier: Apache-2.0
"""The tree by which the entries of a hall receive what its readers read from the table.

The hall's entries are ordered by rendezvous hashing. The first two read the table; each other
entry follows two entries before it in the order. No entry has more than a few followers, and an
update takes few hops.
"""

from ochreway_core.ids import NodeId

READERS_PER_HALL = 2
PARENTS_PER_ENTRY = 2
FAN_OUT = 4


def readers_of(order: list[NodeId]) -> list[NodeId]:
    """Return the entries of the hall that read the table."""
    return order[:READERS_PER_HALL]


def reads_table(node: NodeId, order: list[NodeId]) -> bool:
    """Return whether the node is one of the hall's readers; True if no entry is known."""
    return not order or node in readers_of(order)


def parents_of(node: NodeId, order: list[NodeId]) -> list[NodeId]:
    """Return the entries that the node follows; a reader follows the hall's other readers."""
    if node not in order or reads_table(node, order):
        return [other for other in order[:READERS_PER_HALL] if other != node]
    position = order.index(node) - READERS_PER_HALL
    first = position * PARENTS_PER_ENTRY // FAN_OUT
    return order[first : first + PARENTS_PER_ENTRY]


__all__ = [
    "FAN_OUT",
    "PARENTS_PER_ENTRY",
    "READERS_PER_HALL",
    "parents_of",
    "readers_of",
    "reads_table",
]
