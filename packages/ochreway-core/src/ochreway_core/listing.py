# SPDX-License-Identifier: Apache-2.0
"""The platform's list of instances, as one process last read it."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import DomainId, HallId, NodeId


class InstanceKind(Enum):
    """Tell what runs on an instance."""

    ENTRY = "entry"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one instance of the platform's list; the list lags behind reality."""

    node: NodeId
    address: str
    kind: InstanceKind
    hall: HallId
    domain: DomainId
    leaving: bool = False


__all__ = ["InstanceKind", "ListedInstance"]
