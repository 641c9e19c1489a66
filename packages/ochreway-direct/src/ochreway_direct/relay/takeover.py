# SPDX-License-Identifier: Apache-2.0
"""An attempt at a call's next target, beside the attempt under way."""

import asyncio
from dataclasses import dataclass, field

from ochreway_core.ids import InstanceId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.turn import Turn


@dataclass(slots=True, eq=False)
class Takeover:
    """Hold the attempt that may take a call over, and the task that makes it.

    Attributes:
        former_target: where the call is answered unless it is taken over.
        task: its result is None if the call was not taken over.
        is_sending: whether the task has begun, and so gives the attempt's place back itself.
    """

    attempt: Attempt
    former_target: InstanceId | None = None
    turn: Turn = field(default_factory=Turn)
    task: asyncio.Task[Ending | None] | None = None
    is_sending: bool = False


__all__ = ["Takeover"]
