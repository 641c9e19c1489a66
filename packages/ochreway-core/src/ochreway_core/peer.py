# SPDX-License-Identifier: Apache-2.0
"""A process that can be reached."""

from dataclasses import dataclass

from ochreway_core.ids import NodeId


@dataclass(frozen=True, slots=True)
class Peer:
    """Pair a node with the ``host:port`` its links are accepted at."""

    node: NodeId
    address: str
