# SPDX-License-Identifier: Apache-2.0
"""Whether a target's process has ended, or only a connection to it."""

import asyncio
import contextlib

CHECK_TIMEOUT_S = 0.25
"""How long an answer is waited for; a process that has ended refuses within a round trip."""
RESULT_MAX_AGE_S = 0.5
"""For how long a result stands in for a further check of the same address."""


class TargetCheck:
    """Ask the kernel of a target's instance whether anybody listens, once for all who ask.

    A connection that is refused shows that the process has ended. One that is taken, or that
    nobody answers, shows nothing: the link may have been reset, or the instance be cut off.
    No request is sent, and the connection is closed at once.
    """

    def __init__(self) -> None:
        self._pending_checks: dict[str, asyncio.Task[bool]] = {}
        self._results: dict[str, tuple[float, bool]] = {}

    async def ended(self, address: str) -> bool:
        """Tell whether the process that listened at an address has ended."""
        now_s = asyncio.get_running_loop().time()
        cached_result = self._results.get(address)
        if cached_result is not None and now_s - cached_result[0] < RESULT_MAX_AGE_S:
            return cached_result[1]
        task = self._pending_checks.get(address)
        if task is None:
            task = self._pending_checks[address] = asyncio.create_task(self._check(address))
        # Whoever gives up does not end the check of the others.
        return await asyncio.shield(task)

    async def _check(self, address: str) -> bool:
        try:
            ended = await _is_refused(address)
        finally:
            del self._pending_checks[address]
        now_s = asyncio.get_running_loop().time()
        self._results = {a: r for a, r in self._results.items() if now_s - r[0] < RESULT_MAX_AGE_S}
        self._results[address] = now_s, ended
        return ended


async def _is_refused(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        # Nobody can tell; the caller of this logs what became of the attempt.
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False


__all__ = ["CHECK_TIMEOUT_S", "TargetCheck"]
