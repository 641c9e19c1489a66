# SPDX-License-Identifier: Apache-2.0
"""When the answer of an attempt may reach the caller."""

import asyncio
import contextlib


class Turn:
    """Hold back the answer of an attempt that is made beside another one.

    The call is taken over once the target has begun to answer and the attempt before has ended.
    """

    def __init__(self) -> None:
        self.accepted = False
        self._has_come = asyncio.Event()
        self._is_given_up = asyncio.Event()

    @property
    def has_come(self) -> bool:
        """Return whether the attempt before has ended."""
        return self._has_come.is_set()

    async def accept(self) -> None:
        """Record that the target has begun to answer; wait until the attempt before has ended."""
        self.accepted = True
        await self._has_come.wait()

    def come(self) -> None:
        """Let the answer reach the caller, as the attempt before has ended."""
        self._has_come.set()

    def give_up(self) -> None:
        """Record that the call is not taken over, so that the attempt before goes on."""
        self._is_given_up.set()

    async def wait_until_given_up(self, timeout_s: float) -> None:
        """Wait for a bounded time until the call is known not to be taken over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._is_given_up.wait()


__all__ = ["Turn"]
