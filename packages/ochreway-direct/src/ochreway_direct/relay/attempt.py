# SPDX-License-Identifier: Apache-2.0
"""One attempt to run a call at a target."""

import asyncio
from dataclasses import dataclass, field

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_direct.relay.silencetimeout import SilenceTimeout
from ochreway_direct.relay.turn import Turn


@dataclass(slots=True, eq=False)
class Attempt:
    """Record where a call was sent; ``abandon`` is called when its target is lost.

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
        is_target_gone: whether nothing listened at its address when ``target_check`` last looked.
        turn: when its answer may reach the caller, if it is made beside another attempt.
        is_last: whether the call may make no further attempt. Such an attempt goes on when its
            target is lost, as the rest of its answer may be under way.
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
    is_target_gone: bool = False
    target_check: asyncio.Task[None] | None = None
    turn: Turn | None = None
    _silence_timeout: SilenceTimeout | None = field(default=None)

    def set_silence_timeout(self, silence_timeout: SilenceTimeout) -> None:
        """Set what watches for the target's silence."""
        self._silence_timeout = silence_timeout
        if self.lost:
            silence_timeout.on_lost()

    def end_silence_timeout(self) -> None:
        """Stop watching for silence, as the attempt has ended.

        What watches refers to the attempt: such a cycle would keep its request for long.
        """
        if self._silence_timeout is not None:
            self._silence_timeout.cancel()
            self._silence_timeout = None

    def abandon(self) -> None:
        """Move the call elsewhere as soon as it can, as the view has lost the target."""
        self.lost = True
        if self._silence_timeout is not None:
            self._silence_timeout.on_lost()

    def complete(self) -> None:
        """Record that the whole answer arrived, so that no other target takes the call over."""
        if self._silence_timeout is not None:
            self._silence_timeout.cancel()

    def record_written(self, now_s: float) -> None:
        """Record that a part of the request was handed to the connection."""
        self.written_s = now_s

    def record_received(self, now_s: float) -> None:
        """Record that a part of the answer was received."""
        if self.answer_began_s is None:
            self.answer_began_s = now_s
        self.last_received_s = now_s

    def extend(self, silent_from_s: float) -> None:
        """Take the target for silent from a time on, as a part of its answer arrived."""
        if self._silence_timeout is not None:
            self._silence_timeout.on_answer(silent_from_s)


__all__ = ["Attempt"]
