# SPDX-License-Identifier: Apache-2.0
"""The bounded resources of an instance."""

from enum import Enum


class Resource(Enum):
    """Name a bounded resource of this instance."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    LINK = "link"


__all__ = ["Resource"]
