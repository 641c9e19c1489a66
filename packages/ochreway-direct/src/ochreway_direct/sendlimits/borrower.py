# SPDX-License-Identifier: Apache-2.0
"""Identity of a process that may hold a loan."""

from dataclasses import dataclass, field

from ochreway_core.ids import NodeId


@dataclass(frozen=True, slots=True)
class Borrower:
    """Identify a process that may hold a loan, and where other entries connect to it."""

    node: NodeId
    incarnation: str
    address: str = field(default="", compare=False)

    @property
    def key(self) -> str:
        """Return the name of the process among all that are registered."""
        return f"{self.node}/{self.incarnation}"


__all__ = ["Borrower"]
