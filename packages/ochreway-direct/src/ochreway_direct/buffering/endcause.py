# SPDX-License-Identifier: Apache-2.0
"""Why a slow reader is ended."""

from enum import Enum


class EndCause(Enum):
    """Name why the answers of a reader are ended."""

    STOPPED = "stopped"
    """It has read nothing for too long."""
    MEMORY = "memory"
    """The sum of what is held has reached its limit."""


__all__ = ["EndCause"]
