# SPDX-License-Identifier: Apache-2.0
"""The request as routing decisions see it."""

from dataclasses import dataclass

from ochreway_core.priority import Priority


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """Hold the fields of a request that the router uses."""

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
