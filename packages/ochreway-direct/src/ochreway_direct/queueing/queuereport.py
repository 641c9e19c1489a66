# SPDX-License-Identifier: Apache-2.0
"""What the queues of an entry report to others."""

from collections import Counter
from dataclasses import dataclass, field

from ochreway_direct.queueing.waitingcalls import NO_WAITING_CALLS, WaitingCalls


@dataclass(frozen=True, slots=True)
class QueueReport:
    """Hold an entry's waiting calls, and its requests under way by organisation."""

    waiting: WaitingCalls = NO_WAITING_CALLS
    served_by: Counter[str] = field(default_factory=Counter)


__all__ = ["QueueReport"]
