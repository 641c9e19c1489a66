# SPDX-License-Identifier: Apache-2.0
"""What an entry may run short of."""

from enum import Enum


class Resource(Enum):
    """Name a bounded resource of this instance."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    LINK = "link"


__all__ = ["Resource"]
