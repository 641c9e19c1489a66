# SPDX-License-Identifier: Apache-2.0
"""Part of a target's answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """Hold bytes of an answer and their token count; ``last`` ends a complete answer."""

    payload: bytes
    tokens: int
    status: int
    content_type: str
    last: bool


__all__ = ["Chunk"]
