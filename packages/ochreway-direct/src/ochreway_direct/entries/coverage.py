# SPDX-License-Identifier: Apache-2.0
"""Scope of the work that a heartbeat reports."""

from enum import Enum


class Coverage(Enum):
    """Define whose work a heartbeat reports."""

    OWN = "own"
    """The sender's own work."""
    CELL = "cell"
    """The work of all entries of the sender's cell."""
    REST = "rest"
    """The work of all entries except the receiver."""


__all__ = ["Coverage"]
