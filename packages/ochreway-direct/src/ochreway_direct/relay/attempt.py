# SPDX-License-Identifier: Apache-2.0
"""One sending of a call to one target."""

import asyncio
from dataclasses import dataclass, field

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold where a call was sent; ``abandon`` ends it when its target is lost.

    ``load`` is how many requests its place had when it was chosen, and ``born_ms`` names the life
    of its target, where that is known. ``status`` is the answer's, 0 before it came, and ``notice``
    what the target says of itself there.
    ``written_s`` is when the last part of the request was handed to the connection; at the latest
    it is written when anything is heard or the attempt ends.
    The ``last`` attempt that a call may make is not abandoned: nobody else could go on with it,
    and the rest of its answer may be on its way.
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
    born_ms: int | None = None
    status: int = 0
    notice: TargetNotice = NO_NOTICE
    _timeout: asyncio.Timeout | None = field(default=None)

    def set_timeout(self, timeout: asyncio.Timeout) -> None:
        """Take the time bound that the attempt runs under."""
        self._timeout = timeout
        if self.lost:
            self._expire()

    def abandon(self) -> None:
        """End the attempt, as its target is known to be lost, if another may follow."""
        if self.is_last:
            return
        self.lost = True
        self._expire()

    def record_written(self, now_s: float) -> None:
        """Note that a part of the request was handed to the connection."""
        self.written_s = now_s

    def record_received(self, now_s: float) -> None:
        """Note that a part of the answer came."""
        self.last_received_s = now_s

    def extend(self, until_s: float) -> None:
        """Move the time bound."""
        if self._timeout is not None and not self.lost and not self._timeout.expired():
            self._timeout.reschedule(until_s)

    def _expire(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())


__all__ = ["Attempt"]
