# SPDX-License-Identifier: Apache-2.0
"""Detection of what crashes the targets that run it: a request, or a part of its prompt.

Retries carry such a request from target to target, and different requests share the parts of their
prompts. So crashes are counted by cause, not by attempt or request. A sound run at any entry clears
the causes of its request: most of what was in flight during a crash did not cause it.
"""

import zlib
from collections import OrderedDict
from collections.abc import Iterable

from ochreway_core.cause import is_part
from ochreway_core.crashsighting import CrashSighting, SeenCrash
from ochreway_core.ids import CauseId, InstanceId
from ochreway_routing.crashholds import MIN_CRASHES, CrashHold, find_holds
from ochreway_routing.crashrecord import NEVER_S, Crash, CrashRecord
from ochreway_routing.crashverdict import NOT_FATAL, CrashVerdict

RETENTION_S = 1200.0
"""For how long a cause is kept after its last crash, or after it was last received while held.

That is longer than any refusal: a caller that returns after one gets one trial, not three.
"""
CLEARED_RETENTION_S = 60.0
"""For how long a sound run is kept, to override older sightings still in transit."""
MAX_SUSPECTS = 4096
"""Bound on the causes kept with fewer crashes; about 200 requests are in flight at one group."""
MAX_FATAL = 1024
"""Bound on the causes kept with enough crashes to be fatal; suspects do not evict them."""
MAX_SOUND = 4096
"""Bound on the prompt parts kept for which it is known when they last ran soundly."""
TRIAL_TIMEOUT_S = 3.0
"""How long the outcome of a trial is awaited before another one may begin."""
SUSPECTED_WAIT_S = 1.0
"""How long a request is refused while the outcome of another's trial is awaited."""
TRIAL_SPREAD_S = 1.0
"""Range over which entries spread the beginning of a trial, as one of them is enough."""


class CrashBook:
    """Count, for each cause, the targets that crashed under it since its last sound run.

    It holds the newest suspects and fatal causes up to a bound each; see
    ``python -m ochreway_standins.slopes.crashes``.
    """

    def __init__(
        self, max_suspects: int = MAX_SUSPECTS, max_fatal: int = MAX_FATAL, owner: str = ""
    ) -> None:
        """Create a book; the name of its ``owner`` spreads the trials of different entries."""
        self._suspects: OrderedDict[CauseId, CrashRecord] = OrderedDict()
        self._fatal: OrderedDict[CauseId, CrashRecord] = OrderedDict()
        self._sound_s: OrderedDict[CauseId, float] = OrderedDict()
        self._max_suspects = max_suspects
        self._max_fatal = max_fatal
        self._owner = owner
        self._holds: dict[CauseId, CrashHold] = {}
        self._holds_outdated = False

    # Updates.

    def record_crash(
        self, cause: CauseId, target: InstanceId, at_s: float, under_trial: bool = False
    ) -> bool:
        """Record that a target crashed under a cause; return whether that is new."""
        record = self._find_or_create(cause, at_s)
        is_new = record.add(Crash(target, at_s, under_trial=under_trial))
        self._store(cause, record)
        return is_new

    def record_completion(self, cause: CauseId, run_s: float) -> bool:
        """Record that a target survived a run that began then; return whether to tell others."""
        if is_part(cause):
            self._sound_s[cause] = max(run_s, self._sound_s.get(cause, NEVER_S))
            self._sound_s.move_to_end(cause)
            if len(self._sound_s) > MAX_SOUND:
                self._sound_s.popitem(last=False)
        record = self._find(cause)
        if record is None or not record.crashes:
            return False
        is_new = record.clear(run_s)
        self._store(cause, record)
        return is_new

    def check_request(
        self, causes: Iterable[CauseId], now_s: float, starts_trial: bool = True
    ) -> CrashVerdict:
        """Record that a request was received; return whether it may be sent.

        A request with all causes of a hold is refused until the hold's time is over, then one is
        sent on trial. One whose outcome tells causes apart is sent on trial at once. While the
        outcome of a trial is awaited, others are refused. A trial begins here unless the request
        is not sent now.
        """
        held = self._current_holds()
        if not held:
            return NOT_FATAL
        all_causes = frozenset(causes)
        named = [cause for cause in all_causes if cause in held]
        if not named:
            return NOT_FATAL
        for cause in named:
            self._touch(cause, now_s)
        holds = {held[cause].causes: held[cause] for cause in named}.values()
        verdicts = [self._check_hold(hold, all_causes, now_s) for hold in holds]
        refused = [verdict for verdict in verdicts if verdict.fatal_for_s > 0.0]
        if refused:
            return max(refused, key=lambda verdict: verdict.fatal_for_s)
        if not starts_trial:
            return NOT_FATAL
        for cause in named:
            self._held_record(cause).start_trial(now_s)
        return verdicts[0]

    def _check_hold(
        self, hold: CrashHold, causes: frozenset[CauseId], now_s: float
    ) -> CrashVerdict:
        named = sorted(hold.causes & causes, key=lambda cause: (not is_part(cause), cause))
        cause = named[0]
        if hold.is_firm_for(causes):
            left_s = hold.until_s + self._trial_delay_s(cause) - now_s
            if left_s > 0.0:
                return CrashVerdict(left_s, cause=cause)
        trial_s = max(self._held_record(each).trial_s for each in hold.causes)
        if now_s - trial_s < TRIAL_TIMEOUT_S:
            return CrashVerdict(SUSPECTED_WAIT_S, suspected=True, cause=cause)
        return CrashVerdict(on_trial=True, cause=cause)

    def _trial_delay_s(self, cause: CauseId) -> float:
        """Return how long this entry leaves the beginning of a trial to others."""
        point = zlib.crc32(f"{self._owner} {cause}".encode(errors="surrogatepass"))
        return TRIAL_SPREAD_S * (point / 2**32) if self._owner else 0.0

    def _touch(self, cause: CauseId, now_s: float) -> None:
        """Record that a held cause was received, so that it is kept."""
        record = self._held_record(cause)
        record.last_request_s = max(record.last_request_s, now_s)
        kept = self._fatal if cause in self._fatal else self._suspects
        kept.move_to_end(cause)

    def _held_record(self, cause: CauseId) -> CrashRecord:
        record = self._find(cause)
        assert record is not None
        return record

    def merge_sighting(self, sighting: CrashSighting, received_s: float) -> bool:
        """Merge another process's sighting; return whether any of it is new."""
        cause = sighting.cause
        last_request_s = received_s - sighting.asked_age_s
        record = self._find_or_create(cause, last_request_s)
        record.last_request_s = max(record.last_request_s, last_request_s)
        is_new = False
        if sighting.cleared_age_s is not None:
            is_new = record.clear(received_s - sighting.cleared_age_s)
        for seen in sighting.crashes:
            is_new = record.add(_crash(seen, received_s)) or is_new
        if sighting.trial_age_s is not None:
            is_new = record.start_trial(received_s - sighting.trial_age_s) or is_new
        self._store(cause, record)
        return is_new

    def expire(self, now_s: float) -> None:
        """Remove the records that are too old to count."""
        for records in (self._suspects, self._fatal):
            expired = [name for name, record in records.items() if _is_expired(record, now_s)]
            for cause in expired:
                del records[cause]
                self._holds_outdated = True

    # Queries.

    def crash_count(self, cause: CauseId) -> int:
        """Return how many targets crashed under a cause since its last sound run."""
        record = self._find(cause)
        return len(record.crashes) if record is not None else 0

    def asked_age_s(self, cause: CauseId, now_s: float) -> float | None:
        """Return how long ago a suspicious cause was last received, or None if it is not one."""
        record = self._fatal.get(cause)
        return now_s - record.last_request_s if record is not None else None

    def targets(self, cause: CauseId) -> list[InstanceId]:
        """Return the targets that crashed under a cause, oldest crash first."""
        record = self._find(cause)
        return [crash.target for crash in record.crashes] if record is not None else []

    def sightings(self, causes: Iterable[CauseId], now_s: float) -> tuple[CrashSighting, ...]:
        """Return what to send to other entries about some causes."""
        known_records = ((each, self._find(each)) for each in causes)
        return tuple(
            record.to_sighting(each, now_s) for each, record in known_records if record is not None
        )

    def fatal(self) -> list[CauseId]:
        """Return the causes that are fatal now, the most recently received one last."""
        return [cause for cause in self._fatal if self.is_fatal(cause)]

    def is_fatal(self, cause: CauseId) -> bool:
        """Return whether crashes are put down to a cause now."""
        hold = self._current_holds().get(cause)
        return hold is not None and hold.is_fatal

    def held_with(self, cause: CauseId) -> frozenset[CauseId]:
        """Return the causes that are held together with a cause, itself among them."""
        hold = self._current_holds().get(cause)
        return hold.causes if hold is not None else frozenset()

    def suspects(self, since_s: float) -> list[CauseId]:
        """Return the causes that are not fatal and were received or ran soundly since a time."""
        records = [*self._suspects.items(), *self._fatal.items()]
        return [
            name
            for name, record in records
            if max(record.last_request_s, record.cleared_s) >= since_s and not self.is_fatal(name)
        ]

    def _current_holds(self) -> dict[CauseId, CrashHold]:
        if self._holds_outdated:
            holds = find_holds(self._considered())
            self._holds = {cause: hold for hold in holds for cause in hold.causes}
            self._holds_outdated = False
        return self._holds

    def _considered(self) -> dict[CauseId, CrashRecord]:
        """Return the records of causes that more than one crash may be put down to."""
        suspects = {
            cause: record
            for cause, record in self._suspects.items()
            if len(record.crashes) >= MIN_CRASHES and is_part(cause)
        }
        return {**suspects, **self._fatal}

    def _find(self, cause: CauseId) -> CrashRecord | None:
        return self._fatal.get(cause) or self._suspects.get(cause)

    def _find_or_create(self, cause: CauseId, last_request_s: float) -> CrashRecord:
        record = self._find(cause)
        if record is None:
            record = CrashRecord(last_request_s, cleared_s=self._sound_s.get(cause, NEVER_S))
        return record

    def _store(self, cause: CauseId, record: CrashRecord) -> None:
        """Store a record as the newest of its kind and remove the oldest ones over the bound."""
        was_considered = cause in self._holds or cause in self._fatal
        self._fatal.pop(cause, None)
        self._suspects.pop(cause, None)
        suspicious = record.suspicious
        considered = len(record.crashes) >= MIN_CRASHES
        kept, bound = (
            (self._fatal, self._max_fatal) if suspicious else (self._suspects, self._max_suspects)
        )
        kept[cause] = record
        evicted = [kept.popitem(last=False)[0] for _ in range(len(kept) - bound)]
        was_considered = was_considered or any(each in self._holds for each in evicted)
        if considered or was_considered:
            self._holds_outdated = True


def _crash(seen: SeenCrash, received_s: float) -> Crash:
    return Crash(seen.target, received_s - seen.age_s, seen.approximate, seen.under_trial)


def _is_expired(record: CrashRecord, now_s: float) -> bool:
    if not record.crashes:
        return now_s - record.cleared_s > CLEARED_RETENTION_S
    return now_s - record.last_request_s > RETENTION_S


__all__ = [
    "CLEARED_RETENTION_S",
    "MAX_FATAL",
    "MAX_SOUND",
    "MAX_SUSPECTS",
    "RETENTION_S",
    "SUSPECTED_WAIT_S",
    "TRIAL_SPREAD_S",
    "TRIAL_TIMEOUT_S",
    "CrashBook",
]
