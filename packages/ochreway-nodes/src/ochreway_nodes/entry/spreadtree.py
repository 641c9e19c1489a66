# SPDX-License-Identifier: Apache-2.0
"""Who reads the table in a hall, and from whom the others hear.

The hall's entries stand in rendezvous order. The first two read; each of the others follows
two of those before it, so that nobody has more than a few followers and news passes in few
hops.
"""

from ochreway_core.ids import NodeId

READERS_PER_HALL = 2
PARENTS_PER_ENTRY = 2
FAN_OUT = 4


def readers_of(order: list[NodeId]) -> list[NodeId]:
    """Return the hall's readers."""
    return order[:READERS_PER_HALL]


def reads_table(node: NodeId, order: list[NodeId]) -> bool:
    """Tell whether the node is one of the hall's readers, as it is when it knows of none."""
    return not order or node in readers_of(order)


def parents_of(node: NodeId, order: list[NodeId]) -> list[NodeId]:
    """Return those that the node follows: none within the hall for a reader."""
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
