# SPDX-License-Identifier: Apache-2.0
"""How far a request has come."""

from enum import Enum


class Stage(Enum):
    """Name what a request waits for next."""

    RECEIVED = "received"
    """It was read completely, but not looked at yet."""
    ADMISSION = "admission"
    """Its body is being read, or it waits to be admitted."""
    WAITING = "waiting"
    """It waits for a target and was not sent yet."""
    SENT = "sent"
    """It was sent to a target, and no part of an answer was forwarded."""
    ANSWERING = "answering"
    """A part of the answer was forwarded."""
    DELIVERING = "delivering"
    """The whole answer was handed to the caller's connection."""


__all__ = ["Stage"]
