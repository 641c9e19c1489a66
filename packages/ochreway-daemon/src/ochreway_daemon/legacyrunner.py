# SPDX-License-Identifier: Apache-2.0
"""Requests to legacy targets, which the operators' old tools still run."""

import asyncio
from collections.abc import Callable

import aiohttp

from ochreway_core.attemptid import AttemptId
from ochreway_core.messages import Frame, Refusal, Submit
from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_core.targetkind import TargetKind
from ochreway_core.targetnotice import TargetNotice
from ochreway_daemon.sharedlimits import SharedLimits
from ochreway_platform.errors import PlatformError, TargetTurnedAway, TargetUnreachable
from ochreway_platform.httptarget import HttpTarget
from ochreway_routing.backoffs import Backoffs

AnswerHandler = Callable[[object], None]
LEAVING_BACKOFF_S = 30.0
"""Bounds the backoff reported for a target, such as one that leaves.

The entry does not choose a leaving target during this time, and sends it nothing afterwards either.
"""


class LegacyRunner:
    """Run attempts on legacy targets and answer as an agent would."""

    def __init__(self, session: aiohttp.ClientSession, limits: SharedLimits) -> None:
        self._session = session
        self._limits = limits
        self._running: dict[AttemptId, asyncio.Task[None]] = {}
        self._backoffs = Backoffs()

    def start(self, task: "asyncio.Task[None]", submit: Submit) -> None:
        """Keep the task of an attempt until it ends, so that it can be cancelled."""
        self._running[submit.attempt] = task
        task.add_done_callback(lambda _: self._running.pop(submit.attempt, None))

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt."""
        task = self._running.get(attempt)
        if task is not None:
            task.cancel()

    def _record_notice(self, url: str, notice: TargetNotice, to_request: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        self._backoffs.record_notice(url, notice, now_s)
        if to_request:
            self._limits.record_answer(url, notice.limit_per_s, now_s)

    async def run(self, url: str, submit: Submit, answer: AnswerHandler) -> None:
        """Run one attempt and answer with frames or a refusal."""
        loop = asyncio.get_running_loop()
        wait_s = self._backoffs.wait_s(url, loop.time())
        if wait_s:
            answer(_backoff_refusal(submit, wait_s))
            return
        limit_wait_s = self._limits.wait_s(url, loop.time())
        if limit_wait_s:
            answer(Refusal(submit.attempt, Outcome.NOT_RUN, Reason.TARGET_LIMIT, limit_wait_s))
            return
        self._limits.record_sent(url, loop.time())
        target = HttpTarget(self._session, url, TargetKind.MODEL)
        target.listen(lambda notice, to_request: self._record_notice(url, notice, to_request))
        offset = 0
        try:
            async for chunk in target.run(submit, lambda: True):
                total = offset + len(chunk.payload) if chunk.last else None
                answer(
                    Frame(
                        submit.attempt,
                        offset,
                        chunk.payload,
                        chunk.tokens,
                        chunk.status,
                        chunk.content_type,
                        total,
                    )
                )
                offset += len(chunk.payload)
        except TargetTurnedAway:
            answer(_backoff_refusal(submit, self._backoffs.wait_s(url, loop.time())))
        except TargetUnreachable:
            answer(Refusal(submit.attempt, Outcome.NOT_RUN, Reason.TARGET_FAILED, 1.0))
        except PlatformError:
            reason = Reason.TARGET_ENDED if await target.ended() else Reason.TARGET_FAILED
            answer(Refusal(submit.attempt, Outcome.UNKNOWN, reason, 1.0))


def _backoff_refusal(submit: Submit, wait_s: float) -> Refusal:
    """Return the refusal of an attempt that was not sent or not started, with its backoff."""
    if not wait_s:
        return Refusal(submit.attempt, Outcome.NOT_RUN, Reason.QUEUE_FULL, 1.0)
    return Refusal(submit.attempt, Outcome.NOT_RUN, Reason.BACKOFF, min(wait_s, LEAVING_BACKOFF_S))


__all__ = ["LegacyRunner"]
