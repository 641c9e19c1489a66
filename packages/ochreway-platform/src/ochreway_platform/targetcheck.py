# SPDX-License-Identifier: Apache-2.0
"""Check whether a target's process has ended, or only a connection to it."""

import asyncio
import contextlib

CHECK_TIMEOUT_S = 0.25
"""Bounds the wait for an answer; the instance of an ended process refuses within a round trip."""
RESULT_MAX_AGE_S = 0.5
"""How long a result is reused instead of checking the same address again."""


class TargetCheck:
    """Check by a TCP connection whether a target's process listens; concurrent checks are shared.

    A refused connection proves that the process has ended. One that is accepted or not answered
    proves nothing: an earlier link may have been reset, or the instance may be unreachable. No
    request is sent, and the connection is closed at once.
    """

    def __init__(self) -> None:
        self._pending_checks: dict[str, asyncio.Task[bool]] = {}
        self._results: dict[str, tuple[float, bool]] = {}

    async def ended(self, address: str) -> bool:
        """Return whether the process that listened at an address is known to have ended."""
        now_s = asyncio.get_running_loop().time()
        cached_result = self._results.get(address)
        if cached_result is not None and now_s - cached_result[0] < RESULT_MAX_AGE_S:
            return cached_result[1]
        task = self._pending_checks.get(address)
        if task is None:
            task = self._pending_checks[address] = asyncio.create_task(self._check(address))
        # A caller that is cancelled must not cancel the check for the others.
        return await asyncio.shield(task)

    async def _check(self, address: str) -> bool:
        try:
            ended = await is_refused(address)
        finally:
            del self._pending_checks[address]
        now_s = asyncio.get_running_loop().time()
        self._results = {a: r for a, r in self._results.items() if now_s - r[0] < RESULT_MAX_AGE_S}
        self._results[address] = now_s, ended
        return ended


async def is_refused(address: str) -> bool:
    """Return whether a connection is refused, so that no process listens at an address.

    A connection that is not accepted in time is not refused: a full backlog or a stall of this
    process explains it as well.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        # The result is unknown; the caller logs how the attempt ended.
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False


__all__ = ["CHECK_TIMEOUT_S", "TargetCheck", "is_refused"]
