# SPDX-License-Identifier: Apache-2.0
"""The registry of messages between processes."""

from collections.abc import Callable
from typing import TypeVar

M = TypeVar("M", bound=type)

MESSAGES: dict[int, type] = {}
TAGS: dict[type, int] = {}


def message(tag: int) -> Callable[[M], M]:
    """Register a dataclass as the message with this tag; tags are never reused."""

    def register(kind: M) -> M:
        if tag in MESSAGES:
            raise ValueError(f"message tag {tag} is taken by {MESSAGES[tag].__name__}")
        MESSAGES[tag] = kind
        TAGS[kind] = tag
        return kind

    return register


__all__ = ["MESSAGES", "TAGS", "message"]
