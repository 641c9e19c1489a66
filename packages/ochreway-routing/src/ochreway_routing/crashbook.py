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
from ochreway_routing.crashverdict import INNOCENT, CrashVerdict

REMEMBERED_S = 600.0
"""For how long a request counts after it was last asked for, or a target last ended under it.

A caller who comes back later gets one further try, as what ended its targets may be mended. So
no request ends more than one target in that time, and no refusal lasts for good.
"""
CLEARED_KEPT_S = 60.0
"""For how long a good end is kept, against older words that are still on their way."""
SUSPECTS_AT_MOST = 4096
"""How many requests are kept that targets ended under; some 200 are under way at one group."""
FATAL_AT_MOST = 1024
"""How many fatal requests are kept; they are not pushed out by suspects."""


class CrashBook:
    """Count, for each request, the targets that ended under it since its last good end.

    It holds the newest of each kind up to a bound: 2.8 MB in all at the most, by
    ``python -m ochreway_standins.slopes.crashes``.
    """

    def __init__(
        self, suspects_at_most: int = SUSPECTS_AT_MOST, fatal_at_most: int = FATAL_AT_MOST
    ) -> None:
        self._suspects: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._fatal: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._suspects_at_most = suspects_at_most
        self._fatal_at_most = fatal_at_most

    # What is learned.

    def crashed(self, fingerprint: Fingerprint, target: InstanceId, at_s: float) -> bool:
        """Note that a target ended under a request; return whether that was not known."""
        record = self._record(fingerprint) or CrashRecord(at_s)
        news = record.add(Crash(target, at_s))
        self._keep(fingerprint, record)
        return news

    def finished(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Note that a target ran a request to its end; return whether others should know."""
        record = self._record(fingerprint)
        if record is None or not record.crashes:
            return False
        record.clear(now_s)
        self._keep(fingerprint, record)
        return True

    def asked(self, fingerprint: Fingerprint, now_s: float) -> CrashVerdict:
        """Note that a request is asked for; return whether it may be sent.

        A fatal one that was long not asked for is let through once: whoever asks for the same
        meanwhile is refused until it is known what became of that.
        """
        record = self._fatal.get(fingerprint)
        if record is None:
            return INNOCENT
        left_s = record.asked_s + REMEMBERED_S - now_s
        record.asked_s = max(record.asked_s, now_s)
        self._fatal.move_to_end(fingerprint)
        return CrashVerdict(left_s) if left_s > 0.0 else CrashVerdict(on_trial=True)

    def hear(self, sighting: CrashSighting, heard_s: float) -> bool:
        """Take what another process tells; return whether any of it was not known."""
        fingerprint = sighting.fingerprint
        asked_s = heard_s - sighting.asked_age_s
        record = self._record(fingerprint) or CrashRecord(asked_s)
        record.asked_s = max(record.asked_s, asked_s)
        news = False
        if sighting.cleared_age_s is not None:
            news = record.clear(heard_s - sighting.cleared_age_s)
        for seen in sighting.crashes:
            news = record.add(Crash(seen.target, heard_s - seen.age_s)) or news
        self._keep(fingerprint, record)
        return news

    def expire(self, now_s: float) -> None:
        """Forget what is too old to count."""
        for records in (self._suspects, self._fatal):
            gone = [name for name, record in records.items() if _over(record, now_s)]
            for fingerprint in gone:
                del records[fingerprint]

    # What is asked.

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many targets ended under a request since its last good end."""
        record = self._record(fingerprint)
        return len(record.crashes) if record is not None else 0

    def asked_age_s(self, fingerprint: Fingerprint, now_s: float) -> float | None:
        """Return how long ago a fatal request was last asked for, or None when it is not one."""
        record = self._fatal.get(fingerprint)
        return now_s - record.asked_s if record is not None else None

    def targets(self, fingerprint: Fingerprint) -> list[InstanceId]:
        """Return the targets that ended under a request, the first one first."""
        record = self._record(fingerprint)
        return [crash.target for crash in record.crashes] if record is not None else []

    def sightings(
        self, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> tuple[CrashSighting, ...]:
        """Return what to tell others of some requests."""
        found = ((each, self._record(each)) for each in fingerprints)
        return tuple(record.sighting(each, now_s) for each, record in found if record is not None)

    def fatal(self) -> list[Fingerprint]:
        """Return the fatal requests, the one that was asked for last at the end."""
        return list(self._fatal)

    def suspects(self, since_s: float) -> list[Fingerprint]:
        """Return the others that anything was noted of since a time."""
        return [
            name
            for name, record in self._suspects.items()
            if max(record.asked_s, record.cleared_s) >= since_s
        ]

    def _record(self, fingerprint: Fingerprint) -> CrashRecord | None:
        return self._fatal.get(fingerprint) or self._suspects.get(fingerprint)

    def _keep(self, fingerprint: Fingerprint, record: CrashRecord) -> None:
        """Keep a record as the newest of its kind, and drop the oldest beyond the bound."""
        self._fatal.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        kept, at_most = (
            (self._fatal, self._fatal_at_most)
            if record.fatal
            else (self._suspects, self._suspects_at_most)
        )
        kept[fingerprint] = record
        while len(kept) > at_most:
            kept.popitem(last=False)


def _over(record: CrashRecord, now_s: float) -> bool:
    if not record.crashes:
        return now_s - record.cleared_s > CLEARED_KEPT_S
    # As long again as it counts: whoever comes back by then has one try, not three.
    return now_s - record.asked_s > 2 * REMEMBERED_S


__all__ = [
    "CLEARED_KEPT_S",
    "FATAL_AT_MOST",
    "REMEMBERED_S",
    "SUSPECTS_AT_MOST",
    "CrashBook",
]
