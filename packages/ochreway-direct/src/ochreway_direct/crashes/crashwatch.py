# SPDX-License-Identifier: Apache-2.0
"""Detection and refusal of requests that end their targets."""

import asyncio
from collections.abc import Callable

from ochreway_core.crashsighting import CrashSighting
from ochreway_core.ids import Fingerprint
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_platform.targetcheck import TargetCheck
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

MIN_LOGGED_CRASHES = 2
"""Crashes from which a request is logged; after one, all requests of a target are suspects."""
MAX_CHECK_WAIT_S = 0.1
"""How long a call waits for the check if its target ended, before it may be sent elsewhere.

A refused connection takes one round trip, 3 ms between halls. A target that does not answer costs
the call this much; the result of the check is recorded all the same when it comes later.
"""

ChangeListener = Callable[[list[Fingerprint]], None]
"""Called with the requests about which this entry knows something that others do not."""


class CrashWatch:
    """Record which requests end targets, and decide which of them are not sent any more.

    Each request costs its fingerprint, 2.3 us with 700 bytes of body, and two table lookups, at its
    start and its end, 0.6 us together (``python -m ochreway_standins.slopes.crashes``).
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

    def add_listener(self, listener: ChangeListener) -> None:
        """Add a listener for requests about which this entry learns something by itself."""
        self._listeners.append(listener)

    def _notify(self, fingerprint: Fingerprint) -> None:
        for listener in self._listeners:
            listener([fingerprint])

    def fatal_for_s(self, call: Call) -> float:
        """Return for how long a call must not be sent; 0 if it may be sent now."""
        if not self._refuses or (call.on_trial and not call.sends):
            return 0.0
        verdict = self._book.check_request(call.fingerprint, self._loop.time())
        if verdict.on_trial:
            self._start_trial(call)
        return verdict.fatal_for_s

    def _start_trial(self, call: Call) -> None:
        """Let one call be sent once, if no such request came for long; others wait for it."""
        call.on_trial = True
        self._metrics.count("crash.on_trial")
        self._log.event("request_on_trial", fingerprint=call.fingerprint)
        self._notify(call.fingerprint)

    def on_completed(self, call: Call) -> None:
        """Record that a target completed a call and continues to run."""
        crashes = self._book.crash_count(call.fingerprint)
        if self._book.record_completion(call.fingerprint, self._loop.time()):
            if crashes >= MIN_LOGGED_CRASHES:
                self._log.event("request_cleared", fingerprint=call.fingerprint, crashes=crashes)
            self._metrics.count("crash.cleared")
            self._notify(call.fingerprint)

    async def on_disconnected(self, call: Call, attempt: Attempt) -> None:
        """Check whether the target of an attempt that broke off has ended, and record it."""
        task = asyncio.create_task(self._check_target(call.fingerprint, attempt))
        self._running_checks.add(task)
        task.add_done_callback(self._running_checks.discard)
        await asyncio.wait([task], timeout=MAX_CHECK_WAIT_S)

    async def _check_target(self, fingerprint: Fingerprint, attempt: Attempt) -> None:
        disconnected_s = self._loop.time()
        if not await self._check.ended(attempt.address):
            self._metrics.count("crash.target_stands")
            return
        self._metrics.count("crash.under_request")
        if self._book.record_crash(fingerprint, attempt.instance, disconnected_s):
            self._log_crashes(fingerprint)
            self._notify(fingerprint)

    def on_sightings(
        self, sightings: tuple[CrashSighting, ...], received_s: float
    ) -> list[Fingerprint]:
        """Merge sightings of another entry; return the requests for which they were new."""
        new_fingerprints = [
            sighting.fingerprint
            for sighting in sightings
            if self._book.merge_sighting(sighting, received_s)
        ]
        for fingerprint in new_fingerprints:
            self._log_crashes(fingerprint)
        return new_fingerprints

    def _log_crashes(self, fingerprint: Fingerprint) -> None:
        """Log what is known about a request that ended several targets."""
        crashes = self._book.crash_count(fingerprint)
        if crashes < MIN_LOGGED_CRASHES:
            return
        targets = ",".join(self._book.targets(fingerprint))
        if crashes < FATAL_CRASHES:
            self._log.event(
                "request_suspected", fingerprint=fingerprint, crashes=crashes, targets=targets
            )
            return
        self._metrics.count("crash.fatal")
        self._log.fault("request_fatal", fingerprint=fingerprint, targets=targets)

    def gauges(self) -> dict[str, float]:
        """Return the numbers of fatal requests and of suspects."""
        suspects = len(self._book.suspects(float("-inf")))
        return {"requests_fatal": float(len(self._book.fatal())), "requests_suspected": suspects}


__all__ = ["CrashWatch"]
