# SPDX-License-Identifier: Apache-2.0
"""The platform's list of instances, as last read by one process."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import DomainId, HallId, NodeId


class InstanceKind(Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one instance of the platform's list, which lags behind the actual state."""

    node: NodeId
    address: str
    kind: InstanceKind
    hall: HallId
    domain: DomainId
    leaving: bool = False


__all__ = ["InstanceKind", "ListedInstance"]
