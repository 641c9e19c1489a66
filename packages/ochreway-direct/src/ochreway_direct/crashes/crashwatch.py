# SPDX-License-Identifier: Apache-2.0
"""Detection and refusal of requests that end their targets."""

import asyncio
from collections.abc import Callable

from ochreway_core.cause import is_part
from ochreway_core.crashsighting import CrashSighting
from ochreway_core.ids import CauseId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_platform.targetcheck import TargetCheck
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashverdict import NOT_FATAL, CrashVerdict
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

MIN_LOGGED_CRASHES = 2
"""Crashes from which a cause is logged; after one, all requests of a target are suspects."""
MAX_CHECK_WAIT_S = 0.1
"""How long a call waits for the check if its target ended, before it may be sent elsewhere.

A refused connection takes one round trip, 3 ms between halls. A target that does not answer costs
the call this much; the result of the check is recorded all the same when it comes later.
"""

ChangeListener = Callable[[list[CauseId]], None]
"""Called with the causes about which this entry knows something that others do not."""


class CrashWatch:
    """Record under which requests targets end, and decide which of them are not sent any more.

    What a request costs is measured by ``python -m ochreway_standins.slopes.crashes``.
    """

    def __init__(
        self, book: CrashBook, log: EventLog, metrics: Metrics, refuses: bool = True
    ) -> None:
        """Create a watch; without ``refuses`` it only counts crashes, for measurements."""
        self._refuses = refuses
        self._book = book
        self._check = TargetCheck()
        self._log = log
        self._metrics = metrics
        self._running_checks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._listeners: list[ChangeListener] = []
        self._logged_fatal: set[CauseId] = set()
        self._logging = False

    def add_listener(self, listener: ChangeListener) -> None:
        """Add a listener for causes about which this entry learns something by itself."""
        self._listeners.append(listener)

    def _notify(self, causes: list[CauseId]) -> None:
        self._schedule_log()
        for listener in self._listeners:
            listener(causes)

    def check(self, call: Call, is_sent_now: bool = True) -> CrashVerdict:
        """Return whether a call may be sent; one on trial may be, once."""
        if not self._refuses or (call.on_trial and not call.sends):
            return NOT_FATAL
        verdict = self._book.check_request(call.causes, self._loop.time(), is_sent_now)
        if verdict.on_trial:
            self._start_trial(call, verdict)
        return verdict

    def _start_trial(self, call: Call, verdict: CrashVerdict) -> None:
        """Let one call be sent once, to find out whether it ends its target; others wait for it."""
        call.on_trial = True
        self._metrics.count("crash.on_trial")
        self._log.event(
            "request_on_trial",
            request=call.terms.request,
            fingerprint=call.fingerprint,
            cause=verdict.cause or "",
        )
        self._notify(list(call.causes))

    def on_sound(self, call: Call, attempt: Attempt) -> None:
        """Record that a target survives the run of a call."""
        run_s = attempt.answer_began_s if attempt.answer_began_s is not None else attempt.begun_s
        crashes = self._book.crash_count(CauseId(call.fingerprint))
        cleared = [each for each in call.causes if self._book.record_completion(each, run_s)]
        if not cleared:
            return
        if crashes >= MIN_LOGGED_CRASHES:
            self._log.event("request_cleared", fingerprint=call.fingerprint, crashes=crashes)
        self._metrics.count("crash.cleared")
        self._notify(cleared)

    async def on_disconnected(self, call: Call, attempt: Attempt) -> None:
        """Check whether the target of an attempt that broke off has ended, and record it."""
        if attempt.proved_sound:
            return
        task = asyncio.create_task(self._check_target(call, attempt))
        self._running_checks.add(task)
        task.add_done_callback(self._running_checks.discard)
        await asyncio.wait([task], timeout=MAX_CHECK_WAIT_S)

    async def _check_target(self, call: Call, attempt: Attempt) -> None:
        disconnected_s = self._loop.time()
        if not await self._check.ended(attempt.address):
            self._metrics.count("crash.target_stands")
            return
        self._metrics.count("crash.under_request")
        new_causes = [
            each
            for each in call.causes
            if self._book.record_crash(each, attempt.instance, disconnected_s, call.on_trial)
        ]
        if new_causes:
            self._log_suspects(new_causes)
            self._notify(new_causes)

    def on_sightings(
        self, sightings: tuple[CrashSighting, ...], received_s: float
    ) -> list[CauseId]:
        """Merge sightings of another entry; return the causes for which they were new."""
        new_causes = [
            sighting.cause
            for sighting in sightings
            if self._book.merge_sighting(sighting, received_s)
        ]
        if new_causes:
            self._schedule_log()
        return new_causes

    def _log_suspects(self, causes: list[CauseId]) -> None:
        """Log causes of several crashes, of which this entry saw the newest."""
        for cause in causes:
            crashes = self._book.crash_count(cause)
            if crashes >= MIN_LOGGED_CRASHES and not self._book.is_fatal(cause):
                targets = ",".join(self._book.targets(cause))
                self._log.event(
                    "request_suspected", **_named(cause), crashes=crashes, targets=targets
                )

    def _schedule_log(self) -> None:
        """Log which causes are held once all that is known now is recorded."""
        if not self._logging:
            self._logging = True
            self._loop.call_soon(self._log_changes)

    def _log_changes(self) -> None:
        self._logging = False
        fatal = set(self._book.fatal())
        for cause in fatal - self._logged_fatal:
            self._metrics.count("crash.part_fatal" if is_part(cause) else "crash.fatal")
            others = self._book.held_with(cause) - {cause}
            self._log.fault(
                "part_fatal" if is_part(cause) else "request_fatal",
                **_named(cause),
                targets=",".join(self._book.targets(cause)),
                held_with=",".join(sorted(others)),
            )
        for cause in self._logged_fatal - fatal:
            self._metrics.count("crash.released")
            self._log.event("crash_cause_released", **_named(cause))
        self._logged_fatal = fatal

    def gauges(self) -> dict[str, float]:
        """Return the numbers of fatal requests and prompt parts, and of suspects."""
        fatal = self._book.fatal()
        parts = sum(is_part(cause) for cause in fatal)
        return {
            "requests_fatal": float(len(fatal) - parts),
            "parts_fatal": float(parts),
            "requests_suspected": float(len(self._book.suspects(float("-inf")))),
        }


def _named(cause: CauseId) -> dict[str, object]:
    return {"cause": cause} if is_part(cause) else {"fingerprint": cause}


__all__ = ["CrashWatch"]
