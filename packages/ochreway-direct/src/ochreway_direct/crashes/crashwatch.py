# SPDX-License-Identifier: Apache-2.0
"""Keeping requests from targets that would end under them."""

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
"""From how many crashes on a line is written: after one all callers of a target are suspects."""
MAX_CHECK_WAIT_S = 0.1
"""How long a call waits to learn whether its target ended, before it may be sent on.

A refused connection takes a round trip, 3 ms between halls; a target that does not answer costs
the call this much, and what is found later counts all the same.
"""

ChangeListener = Callable[[list[Fingerprint]], None]
"""Told of the requests of which something is known that other entries do not know."""


class CrashWatch:
    """Note under which requests targets end, and which of them are sent no more.

    Each request costs its fingerprint, 2.3 us with 700 bytes of body, and a look into a table when
    it comes and when it ends, 0.6 us together (``python -m ochreway_standins.slopes.crashes``).
    """

    def __init__(
        self, book: CrashBook, log: EventLog, metrics: Metrics, refuses: bool = True
    ) -> None:
        """Start with the parts given; one that does not refuse only counts, for measurements."""
        self._refuses = refuses
        self._book = book
        self._check = TargetCheck()
        self._log = log
        self._metrics = metrics
        self._running_checks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._listeners: list[ChangeListener] = []

    def add_listener(self, listener: ChangeListener) -> None:
        """Have a part told of the requests that this entry learns something of by itself."""
        self._listeners.append(listener)

    def _notify(self, fingerprint: Fingerprint) -> None:
        for listener in self._listeners:
            listener([fingerprint])

    def fatal_for_s(self, call: Call) -> float:
        """Return for how long a call must not be sent; 0 when it may be."""
        if not self._refuses or (call.on_trial and not call.sends):
            return 0.0
        verdict = self._book.check_request(call.fingerprint, self._loop.time())
        if verdict.on_trial:
            self._start_trial(call)
        return verdict.fatal_for_s

    def _start_trial(self, call: Call) -> None:
        """Let one call be sent once, after its like was long not asked for; others wait for it."""
        call.on_trial = True
        self._metrics.count("crash.on_trial")
        self._log.event("request_on_trial", fingerprint=call.fingerprint)
        self._notify(call.fingerprint)

    def on_completed(self, call: Call) -> None:
        """Note that a target ran a call to its end and goes on."""
        crashes = self._book.crash_count(call.fingerprint)
        if self._book.record_completion(call.fingerprint, self._loop.time()):
            if crashes >= MIN_LOGGED_CRASHES:
                self._log.event("request_cleared", fingerprint=call.fingerprint, crashes=crashes)
            self._metrics.count("crash.cleared")
            self._notify(call.fingerprint)

    async def on_disconnected(self, call: Call, attempt: Attempt) -> None:
        """Find out whether the target of an attempt that broke off has ended, and note it."""
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
        """Take what another entry tells; return the requests of which it was news."""
        new_fingerprints = [
            sighting.fingerprint
            for sighting in sightings
            if self._book.merge_sighting(sighting, received_s)
        ]
        for fingerprint in new_fingerprints:
            self._log_crashes(fingerprint)
        return new_fingerprints

    def _log_crashes(self, fingerprint: Fingerprint) -> None:
        """Write what is known of a request that several targets ended under."""
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
        """Return how many requests are sent no more, and how many are suspects."""
        suspects = len(self._book.suspects(float("-inf")))
        return {"requests_fatal": float(len(self._book.fatal())), "requests_suspected": suspects}


__all__ = ["CrashWatch"]
