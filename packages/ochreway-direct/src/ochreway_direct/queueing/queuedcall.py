# SPDX-License-Identifier: Apache-2.0
"""A waiting call with the task that waits for its place."""

import asyncio
from dataclasses import dataclass

from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call


@dataclass(slots=True, eq=False)
class QueuedCall:
    """Hold a call, its place in the order, and the future that its task awaits."""

    call: Call
    waiting: WaitingCall
    future: asyncio.Future[Attempt]


__all__ = ["QueuedCall"]
