# SPDX-License-Identifier: Apache-2.0
"""Waiting for the first configuration of a process."""

import asyncio

from ochreway_direct.serving import Serving

MAX_WAIT_S = 0.4
"""Maximum time that the callers of a new process wait for its first configuration.

Accepted earlier, they would be held to default limits instead of the configured ones, or be
refused without a retry left where all entries were killed at once.
"""
POLL_INTERVAL_S = 0.005
"""How often to check whether a configuration is in force."""


async def wait_for_first_configuration(serving: Serving, timeout_s: float = MAX_WAIT_S) -> bool:
    """Wait until a configuration is in force; return whether one was before the timeout."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while serving.routes is None and loop.time() < end_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    return serving.routes is not None


__all__ = ["MAX_WAIT_S", "wait_for_first_configuration"]
