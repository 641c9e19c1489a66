# SPDX-License-Identifier: Apache-2.0
"""Waiting for the first configuration of a process."""

import asyncio

from ochreway_direct.serving import Serving

BEGINS_S = 0.4
"""How long callers who connect to a process that begins wait for its first configuration.

It takes some 60 ms. Taken before, they would be held to bounds that are not the operators', or
be refused with no try left where all entries were killed at once.
"""
LOOKED_S = 0.005
"""How often it is looked for."""


async def first_configuration(serving: Serving, within_s: float = BEGINS_S) -> bool:
    """Wait until a configuration is in force; return whether one is in time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + within_s
    while serving.routes is None and loop.time() < end_s:
        await asyncio.sleep(LOOKED_S)
    return serving.routes is not None


__all__ = ["BEGINS_S", "first_configuration"]
