# SPDX-License-Identifier: Apache-2.0
"""Places that were given to calls and have not been returned."""

import asyncio
from collections import Counter

from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call


class GivenPlaces:
    """Hold whose place each attempt has, and tell its queue when the place is free again.

    The relay decides when a place is given back.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._given: dict[Attempt, tuple[CallQueue, WaitingCall]] = {}

    def __len__(self) -> int:
        return len(self._given)

    def add(self, attempt: Attempt, queue: CallQueue, waiting: WaitingCall) -> None:
        """Count a place as under way at its target and as given to a call."""
        self._fleet.begin(attempt)
        self._given[attempt] = (queue, waiting)

    def served_by(self) -> Counter[str]:
        """Return the number of given places by organisation."""
        return Counter(waiting.organisation for _, waiting in self._given.values())

    def is_withdrawn(self, attempt: Attempt) -> bool:
        """Return whether the group of a place was lost before the call was sent."""
        if attempt not in self._given or attempt.group is None:
            return False
        return attempt.lost or self._fleet.group(attempt.group) is None

    def give_back(self, attempt: Attempt) -> None:
        """Give back a place whose call is not sent."""
        if attempt in self._given:
            self._fleet.end(attempt, False, asyncio.get_running_loop().time())
            self.on_ended(attempt, None, False)

    def on_ended(self, attempt: Attempt, call: Call | None, answered: bool) -> None:
        """Record the end of an attempt; ``call`` is None if it was not sent."""
        queue, waiting = self._given.pop(attempt, (None, None))
        if queue is None or waiting is None:
            return
        queue.release(waiting.organisation)
        if call is not None and answered:
            now_s = asyncio.get_running_loop().time()
            queue.forecast.record_run(now_s - attempt.begun_s)
            if call.first_part_s is not None and call.first_part_s >= attempt.begun_s:
                queue.forecast.record_first_part(call.first_part_s - attempt.begun_s)


__all__ = ["GivenPlaces"]
