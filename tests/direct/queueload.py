# SPDX-License-Identifier: Apache-2.0
"""Callers of one full group in virtual time, and the ways of serving them that are compared."""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ochreway_core.ids import Fingerprint
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_standins.engineworld import SPEC

STEP_S = 0.01
FIRST_PART_S = 0.04
SLOTS = 24
RUN_S = 1.2
LIMIT_S = 4.0
MAX_TRIES = 3
BEYOND = 3
OBJECTIVES_S = {0: 0.2, 1: 0.4, 2: 0.8}


@dataclass(slots=True, eq=False)
class Caller:
    name: str
    at_s: float
    priority: int = 1
    organisation: str = ""
    tries: int = 1
    first_part_s: float | None = None
    back_s: float | None = None
    promised: bool = False

    @property
    def in_time(self) -> bool:
        late_s = self.at_s + OBJECTIVES_S[self.priority]
        return self.first_part_s is not None and self.first_part_s <= late_s


class Discipline:
    """Decide which waiting caller goes next; ``refused`` gets the callers with return times."""

    def __init__(self) -> None:
        self.waiting: list[Caller] = []
        self.refused: list[tuple[Caller, float]] = []

    def arrive(self, caller: Caller, now_s: float) -> None:
        self.waiting.append(caller)

    def take(self, load: int, now_s: float) -> Caller | None:
        """Return the caller that gets a place now."""
        raise NotImplementedError

    def on_first_part(self, first_part_s: float) -> None:
        """Learn how long after its place a caller is answered."""

    def on_end(self, organisation: str) -> None:
        """Learn that an answer of an organisation's caller has ended."""

    def expire(self, load: int, now_s: float) -> None:
        """Refuse the callers that wait no more."""


class Ordered(Discipline):
    """First come first served, or strict priority, by the key."""

    def __init__(self, key: Callable[[Caller], object]) -> None:
        super().__init__()
        self._key = key

    def take(self, load: int, now_s: float) -> Caller | None:
        if load >= SLOTS or not self.waiting:
            return None
        self.waiting.sort(key=self._key)  # type: ignore[arg-type]
        return self.waiting.pop(0)


class Polling(Discipline):
    """The relay without a queue: whoever polls first, for a tenth of the objective."""

    def __init__(self) -> None:
        super().__init__()
        self._random = random.Random(1)

    def take(self, load: int, now_s: float) -> Caller | None:
        if load >= SLOTS + BEYOND or not self.waiting:
            return None
        return self.waiting.pop(self._random.randrange(len(self.waiting)))

    def expire(self, load: int, now_s: float) -> None:
        for each in list(self.waiting):
            if now_s - (each.back_s or each.at_s) > 0.1 * OBJECTIVES_S[each.priority]:
                self.waiting.remove(each)
                self.refused.append((each, 0.3 * (each.at_s + LIMIT_S - now_s)))


class Queued(Discipline):
    """The queue under test."""

    def __init__(self) -> None:
        super().__init__()
        spec = replace(SPEC, slots=SLOTS)
        self.queue = CallQueue(spec, BEYOND, 12, random.Random(1), QueueTuning())
        self.queue.forecast.first_part_s = FIRST_PART_S
        for _ in range(100):
            self.queue.forecast.record_run(RUN_S)
        self.callers: dict[WaitingCall, Caller] = {}
        self._facts = PlaceFacts(1, SLOTS)

    def arrive(self, caller: Caller, now_s: float) -> None:
        self.queue.advance(self._facts, now_s)
        objective_s = OBJECTIVES_S[caller.priority]
        waiting = WaitingCall(
            *(Fingerprint(caller.name), caller.organisation, caller.priority, caller.priority),
            *(RUN_S, now_s, now_s + objective_s, now_s + 2.0 * objective_s, 0.1 * objective_s),
        )
        self.callers[waiting] = caller
        offered = self.queue.offer(waiting, self._facts, max(OBJECTIVES_S.values()), now_s)
        lost = waiting if offered.is_err() else offered.unwrap()
        if lost is not None:
            forecast = self.queue.last_forecast(lost, self._facts, now_s)
            self._refuse(lost, forecast, now_s)

    def take(self, load: int, now_s: float) -> Caller | None:
        self.queue.advance(self._facts, now_s)

        def pick(_: WaitingCall, beyond: int) -> bool | None:
            return True if load < SLOTS + beyond else None

        taken = self.queue.take(pick, lambda _: self._facts, now_s)
        if taken is None:
            return None
        return self.callers.pop(taken[0])

    def expire(self, load: int, now_s: float) -> None:
        for waiting, forecast in self.queue.call_forecasts(lambda _: self._facts, now_s):
            if forecast.refused_in_s < 0.0:
                self.queue.leave(waiting)
                self._refuse(waiting, forecast, now_s)

    def on_first_part(self, first_part_s: float) -> None:
        self.queue.forecast.record_first_part(first_part_s)

    def on_end(self, organisation: str) -> None:
        self.queue.release(organisation)

    def _refuse(self, waiting: WaitingCall, forecast: object, now_s: float) -> None:
        caller = self.callers.pop(waiting)
        longest_s = 0.3 * (caller.at_s + LIMIT_S - now_s)
        after_s = self.queue.return_after_s(
            *(waiting, forecast, self._facts, longest_s, now_s)  # type: ignore[arg-type]
        )
        caller.promised = self.queue.promises.has_place(waiting.fingerprint)
        self.refused.append((caller, after_s))


def play(
    discipline: Discipline, callers: Iterable[Caller], until_s: float, returns: bool = False
) -> None:
    """Serve callers until a time; with ``returns``, refused callers return as told."""
    lengths = random.Random(2)
    coming = sorted((each.at_s, n, each) for n, each in enumerate(callers))
    running: list[tuple[float, str]] = []
    for step in range(int(until_s / STEP_S)):
        now_s = step * STEP_S
        while coming and coming[0][0] <= now_s:
            discipline.arrive(heapq.heappop(coming)[2], now_s)
        while running and running[0][0] <= now_s:
            discipline.on_end(running.pop(0)[1])
        while (caller := discipline.take(len(running), now_s)) is not None:
            slot_s = now_s if len(running) < SLOTS else running[-SLOTS][0]
            caller.first_part_s = slot_s + FIRST_PART_S
            discipline.on_first_part(caller.first_part_s - now_s)
            end_s = slot_s + RUN_S * lengths.uniform(0.5, 1.5)
            running = sorted([*running, (end_s, caller.organisation)])
        discipline.expire(len(running), now_s)
        for caller, after_s in discipline.refused:
            caller.back_s = now_s + after_s
            if returns and caller.tries < MAX_TRIES:
                caller.tries += 1
                heapq.heappush(coming, (caller.back_s, id(caller), caller))
        discipline.refused.clear()


def steady(per_s: float, from_s: float, until_s: float, name: str, **more: object) -> list[Caller]:
    """Return callers at regular times."""
    count = int((until_s - from_s) * per_s)
    return [Caller(f"{name}{n}", from_s + n / per_s, **more) for n in range(count)]  # type: ignore[arg-type]


def share_in_time(callers: Iterable[Caller]) -> float:
    """Return the part of the callers that was answered in time."""
    results = [each.in_time for each in callers]
    return sum(results) / len(results)


__all__ = [
    "Caller",
    "Discipline",
    "Ordered",
    "Polling",
    "Queued",
    "play",
    "share_in_time",
    "steady",
]
