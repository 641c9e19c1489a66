# SPDX-License-Identifier: Apache-2.0
"""What a routing decision needs to know of a request."""

from dataclasses import dataclass

from ochreway_core.priority import Priority


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """Describe a request to the router."""

    target: str
    caller: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: Priority
    deadline_s: float
    adapter: str = ""
    share_key: str = ""


__all__ = ["RouteQuery"]
