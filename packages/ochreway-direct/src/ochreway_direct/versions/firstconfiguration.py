# SPDX-License-Identifier: Apache-2.0
"""Waiting for the first configuration of a process."""

import asyncio

from ochreway_direct.serving import Serving

WAIT_AT_MOST_S = 0.4
"""How long the callers of a new process wait at most for its first configuration.

Taken before it, they would be held to bounds that are not the operators', or be refused with no
try left where all entries were killed at once.
"""
POLL_S = 0.005
"""How often to check whether a configuration is in force."""


async def first_configuration(serving: Serving, within_s: float = WAIT_AT_MOST_S) -> bool:
    """Wait until a configuration is in force; return whether one is in time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + within_s
    while serving.routes is None and loop.time() < end_s:
        await asyncio.sleep(POLL_S)
    return serving.routes is not None


__all__ = ["WAIT_AT_MOST_S", "first_configuration"]
