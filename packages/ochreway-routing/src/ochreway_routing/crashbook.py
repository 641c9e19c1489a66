# SPDX-License-Identifier: Apache-2.0
"""Which requests end the targets that run them.

A try that is sent on, and a caller who tries again, take such a request from target to target.
What is asked, and not the try, is therefore what crashes are counted by. A good end at any entry
shows that a request is innocent, as those are that were under way beside the cause.
"""

from collections import OrderedDict
from collections.abc import Iterable

from ochreway_core.crashsighting import CrashSighting
from ochreway_core.ids import Fingerprint, InstanceId
from ochreway_routing.crashrecord import Crash, CrashRecord
from ochreway_routing.crashverdict import NOT_FATAL, CrashVerdict

QUARANTINE_S = 600.0
"""For how long a request counts after it was last asked for, or a target last ended under it.

A caller who comes back later gets one further try, as what ended its targets may be mended. So
no request ends more than one target in that time, and no refusal lasts for good.
"""
CLEARED_RETENTION_S = 60.0
"""For how long a good end is kept, against older words that are still on their way."""
MAX_SUSPECTS = 4096
"""How many requests are kept that targets ended under; some 200 are under way at one group."""
MAX_FATAL = 1024
"""How many fatal requests are kept; they are not pushed out by suspects."""


class CrashBook:
    """Count, for each request, the targets that ended under it since its last good end.

    It holds the newest of each kind up to a bound: 2.8 MB in all at the most, by
    ``python -m ochreway_standins.slopes.crashes``.
    """

    def __init__(self, max_suspects: int = MAX_SUSPECTS, max_fatal: int = MAX_FATAL) -> None:
        self._suspects: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._fatal: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._max_suspects = max_suspects
        self._max_fatal = max_fatal

    # What is learned.

    def record_crash(self, fingerprint: Fingerprint, target: InstanceId, at_s: float) -> bool:
        """Note that a target ended under a request; return whether that was not known."""
        record = self._find(fingerprint) or CrashRecord(at_s)
        is_new = record.add(Crash(target, at_s))
        self._store(fingerprint, record)
        return is_new

    def record_completion(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Note that a target ran a request to its end; return whether others should know."""
        record = self._find(fingerprint)
        if record is None or not record.crashes:
            return False
        record.clear(now_s)
        self._store(fingerprint, record)
        return True

    def check_request(self, fingerprint: Fingerprint, now_s: float) -> CrashVerdict:
        """Note that a request is asked for; return whether it may be sent.

        A fatal one that was long not asked for is let through once: whoever asks for the same
        meanwhile is refused until it is known what became of that.
        """
        record = self._fatal.get(fingerprint)
        if record is None:
            return NOT_FATAL
        left_s = record.last_request_s + QUARANTINE_S - now_s
        record.last_request_s = max(record.last_request_s, now_s)
        self._fatal.move_to_end(fingerprint)
        return CrashVerdict(left_s) if left_s > 0.0 else CrashVerdict(on_trial=True)

    def merge_sighting(self, sighting: CrashSighting, received_s: float) -> bool:
        """Take what another process tells; return whether any of it was not known."""
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
        """Forget what is too old to count."""
        for records in (self._suspects, self._fatal):
            expired = [name for name, record in records.items() if _is_expired(record, now_s)]
            for fingerprint in expired:
                del records[fingerprint]

    # What is asked.

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return how many targets ended under a request since its last good end."""
        record = self._find(fingerprint)
        return len(record.crashes) if record is not None else 0

    def asked_age_s(self, fingerprint: Fingerprint, now_s: float) -> float | None:
        """Return how long ago a fatal request was last asked for, or None when it is not one."""
        record = self._fatal.get(fingerprint)
        return now_s - record.last_request_s if record is not None else None

    def targets(self, fingerprint: Fingerprint) -> list[InstanceId]:
        """Return the targets that ended under a request, the first one first."""
        record = self._find(fingerprint)
        return [crash.target for crash in record.crashes] if record is not None else []

    def sightings(
        self, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> tuple[CrashSighting, ...]:
        """Return what to tell others of some requests."""
        known_records = ((each, self._find(each)) for each in fingerprints)
        return tuple(
            record.to_sighting(each, now_s) for each, record in known_records if record is not None
        )

    def fatal(self) -> list[Fingerprint]:
        """Return the fatal requests, the one that was asked for last at the end."""
        return list(self._fatal)

    def suspects(self, since_s: float) -> list[Fingerprint]:
        """Return the others that anything was noted of since a time."""
        return [
            name
            for name, record in self._suspects.items()
            if max(record.last_request_s, record.cleared_s) >= since_s
        ]

    def _find(self, fingerprint: Fingerprint) -> CrashRecord | None:
        return self._fatal.get(fingerprint) or self._suspects.get(fingerprint)

    def _store(self, fingerprint: Fingerprint, record: CrashRecord) -> None:
        """Keep a record as the newest of its kind, and drop the oldest beyond the bound."""
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
    # As long again as it counts: whoever comes back by then has one try, not three.
    return now_s - record.last_request_s > 2 * QUARANTINE_S


__all__ = [
    "CLEARED_RETENTION_S",
    "MAX_FATAL",
    "QUARANTINE_S",
    "MAX_SUSPECTS",
    "CrashBook",
]
