# SPDX-License-Identifier: Apache-2.0
"""The identity of one attempt at a request."""

from dataclasses import dataclass

from ochreway_core.ids import Incarnation, NodeId


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Identify an attempt by its entry, the entry's incarnation and a sequence number."""

    entry: NodeId
    incarnation: Incarnation
    sequence: int

    def __str__(self) -> str:
        return f"{self.entry}.{self.incarnation:x}.{self.sequence}"
