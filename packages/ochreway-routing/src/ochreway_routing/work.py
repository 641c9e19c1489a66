# SPDX-License-Identifier: Apache-2.0
"""Work that waits for a slot."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from ochreway_core.priority import Priority

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Work(Generic[T]):
    """Describe one piece of work to the fair queue.

    ``needed_s`` is how long it is expected to run at the least.
    """

    item: T
    organisation: str
    priority: Priority
    cost_tokens: float
    prefill_tokens: float
    deadline_s: float
    expected_run_s: float
    queued_s: float


__all__ = ["Work"]
