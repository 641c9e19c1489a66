# SPDX-License-Identifier: Apache-2.0
"""A caller's request, as parsed by the entry."""

from dataclasses import dataclass

from ochreway_core.ids import KeyDigest, OrganisationId, RequestId, TargetName
from ochreway_core.priority import Priority
from ochreway_core.targetkind import TargetKind


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a request; ``deadline_s`` is on this process's monotonic clock."""

    request: RequestId
    organisation: OrganisationId
    kind: TargetKind
    target: TargetName
    repeatable: bool
    key: KeyDigest | None
    key_issued_wall_s: float
    priority: Priority
    deadline_s: float
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...]
    caller: str
    adapter: str
    method: str
    path: str
    body: bytes


__all__ = ["Request"]
