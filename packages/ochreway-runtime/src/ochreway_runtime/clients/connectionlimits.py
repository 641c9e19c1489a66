# SPDX-License-Identifier: Apache-2.0
"""Limits on one connection of a client."""

from dataclasses import dataclass

MIN_HEADER_LINE_BYTES = 4
"""A name of one character, a colon and CRLF."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Hold the limits on heads, and how long a connection may be idle.

    ``header_bytes`` bounds a head, the empty lines before it, and what frames a body: the lines of
    chunks and trailers that arrive without any of its content.
    """

    header_bytes: int = 16 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0

    @property
    def header_lines(self) -> int:
        """Return the largest number of lines that fit into a head."""
        return max(1, self.header_bytes // MIN_HEADER_LINE_BYTES)


__all__ = ["ConnectionLimits"]
