# SPDX-License-Identifier: Apache-2.0
"""Name and address of a process."""

from dataclasses import dataclass

from ochreway_core.ids import NodeId


@dataclass(frozen=True, slots=True)
class Peer:
    """Pair a node with the ``host:port`` at which it accepts links."""

    node: NodeId
    address: str
