# SPDX-License-Identifier: Apache-2.0
"""Work that waits for a slot."""

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

Urgency = tuple[bool, int, int]
"""Class of work: whether it may be refused, its effective priority and its route's priority."""


@dataclass(frozen=True, slots=True)
class Work(Generic[T]):
    """Describe one work item to the fair queue.

    ``cost`` counts as service of the organisation, in one unit for all work of a queue: tokens at
    native nodes, seconds of a group at direct entries. ``expected_run_s`` is the minimum time that
    it is expected to run. Work that ``must_run`` cannot be refused, and goes before all other. Work
    that ``returned`` at the time that its caller was told goes before other work of its class. Work
    that is ``late`` goes after the other work of its organisation and class, as it would make that
    late, too.
    """

    item: T
    organisation: str
    priority: int
    cost: float
    prefill_tokens: float
    deadline_s: float
    expected_run_s: float
    queued_s: float
    route_priority: int = 0
    must_run: bool = False
    returned: bool = False
    late: bool = False

    @property
    def urgency(self) -> Urgency:
        """Return the class of the work; a lower one is more urgent."""
        return (not self.must_run, self.priority, self.route_priority)


__all__ = ["Urgency", "Work"]
