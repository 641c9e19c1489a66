# SPDX-License-Identifier: Apache-2.0
"""Work that waits for a slot."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from ochreway_core.priority import Priority

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Work(Generic[T]):
    """Describe one work item to the fair queue.

    ``expected_run_s`` is the minimum time that it is expected to run.
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
