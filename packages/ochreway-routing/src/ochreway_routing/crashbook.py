# SPDX-License-Identifier: Apache-2.0
"""Detection of requests that crash the targets that run them.

Retries by an entry or by the caller carry such a request from target to target, so crashes are
counted by the request's fingerprint, not by attempt. A completion at any entry clears a request:
most requests that were in flight during a crash did not cause it.
"""

from collections import OrderedDict
from collections.abc import Iterable

from ochreway_core.crashsighting import CrashSighting
from ochreway_core.ids import Fingerprint, InstanceId
from ochreway_routing.crashrecord import Crash, CrashRecord
from ochreway_routing.crashverdict import NOT_FATAL, CrashVerdict

QUARANTINE_S = 600.0
"""For how long a fatal request is refused after it was last received or last crashed a target.

A caller that returns later gets one trial, as the cause may have been fixed. So a fatal request
crashes at most one target in that time, and no refusal is permanent.
"""
CLEARED_RETENTION_S = 60.0
"""For how long a completion is kept, to override older sightings still in transit."""
MAX_SUSPECTS = 4096
"""Bound on the requests kept with fewer crashes; about 200 are in flight at one group."""
MAX_FATAL = 1024
"""Bound on the fatal requests kept; suspects do not evict them."""


class CrashBook:
    """Count, for each request, the targets that crashed under it since its last completion.

    It holds the newest suspects and fatal requests up to a bound each, 2.8 MB in all at the most;
    see ``python -m ochreway_standins.slopes.crashes``.
    """

    def __init__(self, max_suspects: int = MAX_SUSPECTS, max_fatal: int = MAX_FATAL) -> None:
        self._suspects: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._fatal: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._max_suspects = max_suspects
        self._max_fatal = max_fatal

    # Updates.

    def record_crash(self, fingerprint: Fingerprint, target: InstanceId, at_s: float) -> bool:
        """Record that a target crashed under a request; return whether that is new."""
        record = self._find(fingerprint) or CrashRecord(at_s)
        is_new = record.add(Crash(target, at_s))
        self._store(fingerprint, record)
        return is_new

    def record_completion(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Record that a target completed a request; return whether to tell other entries."""
        record = self._find(fingerprint)
        if record is None or not record.crashes:
            return False
        record.clear(now_s)
        self._store(fingerprint, record)
        return True

    def check_request(self, fingerprint: Fingerprint, now_s: float) -> CrashVerdict:
        """Record that a request was received; return whether it may be sent.

        After its quarantine a fatal request is let through once, on trial. The same request is
        refused meanwhile, until the outcome of the trial is known.
        """
        record = self._fatal.get(fingerprint)
        if record is None:
            return NOT_FATAL
        left_s = record.last_request_s + QUARANTINE_S - now_s
        record.last_request_s = max(record.last_request_s, now_s)
        self._fatal.move_to_end(fingerprint)
        return CrashVerdict(left_s) if left_s > 0.0 else CrashVerdict(on_trial=True)

    def merge_sighting(self, sighting: CrashSighting, received_s: float) -> bool:
        """Merge another process's sighting; return whether any of it is new."""
        fingerprint = sighting.fingerprint
        last_request_s = received_s - sighting.asked_age_s
        record = self._find(fingerprint) or CrashRecord(last_request_s)
        record.last_request_s = max(record.last_request_s, last_request_s)
        is_new = False
        if sighting.cleared_age_s is not None:
            is_new = record.clear(received_s - sighting.cleared_age_s)
        for seen in sighting.crashes:
            is_new = record.add(Crash(seen.target, received_s - seen.age_s)) or is_new
        self._store(fingerprint, record)
        return is_new

    def expire(self, now_s: float) -> None:
        """Remove the records that are too old to count."""
        for records in (self._suspects, self._fatal):
            expired = [name for name, record in records.items() if _is_expired(record, now_s)]
            for fingerprint in expired:
                del records[fingerprint]

    # Queries.

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return how many targets crashed under a request since its last completion."""
        record = self._find(fingerprint)
        return len(record.crashes) if record is not None else 0

    def asked_age_s(self, fingerprint: Fingerprint, now_s: float) -> float | None:
        """Return how long ago a fatal request was last received, or None if it is not fatal."""
        record = self._fatal.get(fingerprint)
        return now_s - record.last_request_s if record is not None else None

    def targets(self, fingerprint: Fingerprint) -> list[InstanceId]:
        """Return the targets that crashed under a request, oldest crash first."""
        record = self._find(fingerprint)
        return [crash.target for crash in record.crashes] if record is not None else []

    def sightings(
        self, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> tuple[CrashSighting, ...]:
        """Return what to send to other entries about some requests."""
        known_records = ((each, self._find(each)) for each in fingerprints)
        return tuple(
            record.to_sighting(each, now_s) for each, record in known_records if record is not None
        )

    def fatal(self) -> list[Fingerprint]:
        """Return the fatal requests, the most recently received one last."""
        return list(self._fatal)

    def suspects(self, since_s: float) -> list[Fingerprint]:
        """Return the non-fatal requests that were received or completed since a time."""
        return [
            name
            for name, record in self._suspects.items()
            if max(record.last_request_s, record.cleared_s) >= since_s
        ]

    def _find(self, fingerprint: Fingerprint) -> CrashRecord | None:
        return self._fatal.get(fingerprint) or self._suspects.get(fingerprint)

    def _store(self, fingerprint: Fingerprint, record: CrashRecord) -> None:
        """Store a record as the newest of its kind and remove the oldest ones over the bound."""
        self._fatal.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        kept, bound = (
            (self._fatal, self._max_fatal) if record.fatal else (self._suspects, self._max_suspects)
        )
        kept[fingerprint] = record
        while len(kept) > bound:
            kept.popitem(last=False)


def _is_expired(record: CrashRecord, now_s: float) -> bool:
    if not record.crashes:
        return now_s - record.cleared_s > CLEARED_RETENTION_S
    # Kept for a second quarantine: a caller that returns by then gets one trial, not three.
    return now_s - record.last_request_s > 2 * QUARANTINE_S


__all__ = [
    "CLEARED_RETENTION_S",
    "MAX_FATAL",
    "QUARANTINE_S",
    "MAX_SUSPECTS",
    "CrashBook",
]
