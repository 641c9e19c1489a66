# SPDX-License-Identifier: Apache-2.0
"""One attempt to run a call at a target."""

import asyncio
from dataclasses import dataclass, field

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice


@dataclass(slots=True, eq=False)
class Attempt:
    """Record where a call was sent; ``abandon`` ends the attempt when its target is lost.

    Attributes:
        candidate: the group or target that was chosen, the key of its load.
        load: number of requests the candidate had when it was chosen.
        born_ms: start time that identifies the target's incarnation, if it is known.
        status: HTTP status of the answer, 0 before it arrives.
        notice: what the target reported about itself in the answer's headers.
        answer_began_s: when the first part of its answer was received.
        proved_sound: whether its target survived the run for long enough that it does not crash it.
        awaits_caller: whether the answer is not read, as its caller does not read it.
        written_s: when the last part of the request was handed to the connection. The request is
            certainly written once any answer is received or the attempt has ended.
        is_last: whether the call may make no further attempt. Such an attempt is not abandoned, as
            no other target could continue it and the rest of its answer may be under way.
    """

    instance: InstanceId
    address: str
    hall: HallId
    candidate: str
    prompt_tokens: int = 0
    begun_s: float = 0.0
    is_last: bool = False
    group: GroupId | None = None
    epoch: Epoch | None = None
    pace: float = 1.0
    load: int = 0
    lost: bool = False
    last_received_s: float | None = None
    written_s: float | None = None
    answer_began_s: float | None = None
    proved_sound: bool = False
    born_ms: int | None = None
    status: int = 0
    notice: TargetNotice = NO_NOTICE
    awaits_caller: bool = False
    _timeout: asyncio.Timeout | None = field(default=None)

    def set_timeout(self, timeout: asyncio.Timeout) -> None:
        """Set the timeout that the attempt runs under."""
        self._timeout = timeout
        if self.lost:
            self._expire()

    def abandon(self) -> None:
        """End the attempt because its target is lost, unless it is the last one."""
        if self.is_last:
            return
        self.lost = True
        self._expire()

    def record_written(self, now_s: float) -> None:
        """Record that a part of the request was handed to the connection."""
        self.written_s = now_s

    def record_received(self, now_s: float) -> None:
        """Record that a part of the answer was received."""
        if self.answer_began_s is None:
            self.answer_began_s = now_s
        self.last_received_s = now_s

    def extend(self, until_s: float) -> None:
        """Move the timeout to a later time."""
        if self._timeout is not None and not self.lost and not self._timeout.expired():
            self._timeout.reschedule(until_s)

    def _expire(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())


__all__ = ["Attempt"]
