# SPDX-License-Identifier: Apache-2.0
"""Whose work a heartbeat counts."""

from enum import Enum


class Coverage(Enum):
    """Say whose work a heartbeat counts."""

    OWN = "own"
    """The sender's."""
    CELL = "cell"
    """That of every entry of the sender's cell."""
    REST = "rest"
    """Everybody's but the receiver's."""


__all__ = ["Coverage"]
