# SPDX-License-Identifier: Apache-2.0
"""What one kind of ill-behaved client sends."""

from collections.abc import Callable
from dataclasses import dataclass

from ochreway_standins.crowd.ask import Ask


@dataclass(frozen=True, slots=True)
class Shape:
    """Hold what a client sends once, and what it then repeats until its connection is closed.

    Without ``repeated``, the client keeps its connection and sends nothing more.
    """

    opening: bytes = b""
    repeated: bytes = b""
    reads: bool = True


Builder = Callable[[Ask], Shape]
SHAPES: dict[str, Builder] = {}


def shape(name: str) -> Callable[[Builder], Builder]:
    """Register a shape under a name."""

    def register(build: Builder) -> Builder:
        SHAPES[name] = build
        return build

    return register


__all__ = ["SHAPES", "Builder", "Shape", "shape"]
