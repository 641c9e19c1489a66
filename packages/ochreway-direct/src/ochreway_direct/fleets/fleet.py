# SPDX-License-Identifier: Apache-2.0
"""The groups and targets that an entry may send to, and what is under way at each."""

import random
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping

from ochreway_core.ids import GroupId, HallId, InstanceId
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.fleets.placecounts import PlaceCounts
from ochreway_direct.fleets.targethealth import TargetHealth
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.sendlimit import SendLimit, Unlimited
from ochreway_direct.targetlimits.limitgate import LimitGate
from ochreway_routing.backoffs import Backoffs

OTHER_HALL_LOAD = 0.5
"""How many requests more a target of the own hall may have before another is preferred."""
JITTER_LOAD = 0.9
SAMPLED_GROUPS = 3
"""How many groups a choice is made among.

Counts are some heartbeats old, so entries that all took the best group would take the same one.
``python -m ochreway_standins.choicebench``: 36 entries, 38 groups, first part p99 0.28 s among
all, 0.16 among two, 0.12 among three, 0.14 among five.
"""
FAST_PACE = 1.5
"""By how much slower than the fastest a group may be to be drawn like it."""
FIRST_ANSWER_S = 0.4
"""How long a group that answers nobody yet may take for a first answer before it looks silent."""
FIRST_TOKENS = 10
"""How many tokens of an answer a place is chosen for: the first few events.

More would send callers to groups that write fast and still have many prompts to read.
"""


NO_VIEW = "0/0"
"""Names the view of an entry that has none."""


class Fleet:
    """Choose the least loaded place for a call.

    What others have at each place is kept as a sum, so that a choice costs as much as there are
    places that could take the call, however many entries there are.
    """

    def __init__(
        self,
        hall: HallId,
        chance: random.Random,
        counts_unread: bool = True,
        sampled: int | None = None,
        limit: SendLimit | None = None,
        backoffs: Backoffs | None = None,
        gate: LimitGate | None = None,
    ) -> None:
        """Start without places; with ``sampled``, choose the best of so many drawn at random.

        ``limit`` bounds what each target gets from this entry; ``backoffs`` knows which of them
        asked to get nothing for a while, or for good, and ``gate`` which named a limit.
        """
        self._hall = hall
        self.shown = NO_VIEW
        self._chance = chance
        self._counts_unread = counts_unread
        self._sampled = sampled
        self._groups: dict[GroupId, GroupView] = {}
        self._by_service: dict[ServiceName, list[GroupView]] = {}
        self._targets: dict[InstanceId, ListedTarget] = {}
        self._leaving: frozenset[InstanceId] = frozenset()
        self._closed_halls: frozenset[HallId] = frozenset()
        self._limit = limit or Unlimited()
        self._backoffs = backoffs or Backoffs()
        self._gate = gate
        self._under_way: dict[str, set[Attempt]] = defaultdict(set)
        self._unread: Counter[str] = Counter()
        self._elsewhere = PlaceCounts()
        self._unread_elsewhere = PlaceCounts()
        self._health: dict[InstanceId, TargetHealth] = defaultdict(TargetHealth)

    # What is learned.

    def set_groups(self, groups: Iterable[GroupView], shown: str = NO_VIEW) -> None:
        """Replace the groups that serve, as a view named for the log shows them."""
        self.shown = shown
        self._groups = {each.group: each for each in groups}
        self._by_service = defaultdict(list)
        for group in self._groups.values():
            self._by_service[group.service].append(group)

    def abandon(self, group: GroupId) -> None:
        """End what runs at a group that has lost a member."""
        for attempt in list(self._under_way.get(group, ())):
            attempt.abandon()

    def set_targets(self, targets: Iterable[ListedTarget]) -> None:
        """Replace the plain targets."""
        self._targets = {each.instance: each for each in targets}

    def set_leaving(self, leaving: Iterable[InstanceId]) -> None:
        """Replace the engines that leave; their groups get nothing new."""
        self._leaving = frozenset(leaving)

    def set_closed_halls(self, halls: frozenset[HallId]) -> None:
        """Replace the halls that get nothing new."""
        self._closed_halls = halls

    def set_elsewhere(
        self, source: str, counts: Mapping[str, int], unread: Mapping[str, int] | None = None
    ) -> None:
        """Take what a source says is under way elsewhere, and the prompt tokens not read yet."""
        self._elsewhere.put(source, counts)
        self._unread_elsewhere.put(source, unread or {})

    def forget_elsewhere(self, source: str) -> None:
        """Drop what a source said."""
        self._elsewhere.drop(source)
        self._unread_elsewhere.drop(source)

    # What is asked.

    def group(self, group: GroupId) -> GroupView | None:
        """Return a group that serves."""
        return self._groups.get(group)

    def under_way(self) -> Counter[str]:
        """Return how many attempts run at each place."""
        return Counter({place: len(each) for place, each in self._under_way.items() if each})

    def places(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> list[GroupView]:
        """Return the groups that may be given requests for a model, in some halls or in any."""
        anywhere = within is None and not self._closed_halls
        return [
            each
            for each in self._by_service.get(service, ())
            if (model is None or each.model == model)
            and each.leader not in self._leaving
            and not self._backoffs.leaving(each.leader, each.born_ms)
            and (anywhere or self._in_reach(halls_of(each), within))
        ]

    def _in_reach(self, halls: frozenset[HallId], within: frozenset[HallId] | None) -> bool:
        """Tell whether all of some halls may be sent to."""
        return not halls & self._closed_halls and (within is None or halls <= within)

    def all_closed(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> bool:
        """Tell whether there are places for a model, all of them in halls that are closed."""
        if not self._closed_halls:
            return False
        needed = [
            halls_of(each)
            for each in self._by_service.get(service, ())
            if model is None or each.model == model
        ]
        needed += [frozenset((t.hall,)) for t in self._targets.values() if t.service == service]
        reached = [halls for halls in needed if within is None or halls <= within]
        return bool(reached) and all(halls & self._closed_halls for halls in reached)

    def has_group(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> bool:
        """Tell whether any group serves a model."""
        return bool(self.places(service, model, within))

    def silent_groups(self, now_s: float, silent_s: float) -> list[GroupId]:
        """Return the groups where answers are awaited and none has begun or gone on for a while."""
        silent = []
        for group in self._groups:
            running = self._under_way.get(group)
            if running and now_s - _last_sign_s(running) > silent_s:
                silent.append(group)
        return silent

    def has_engines(self, service: ServiceName) -> bool:
        """Tell whether any group of a service serves."""
        return bool(self._by_service.get(service))

    def pick_group(
        self,
        service: ServiceName,
        model: ModelName | None,
        avoid: Collection[InstanceId],
        spec: EngineSpec,
        queued_at_most: int,
        prompt_tokens: int = 0,
        within: frozenset[HallId] | None = None,
        now_s: float = 0.0,
    ) -> GroupView | None:
        """Return the group that is to take the least time, or None when all have no place left.

        So many requests may wait at a group beside those in its slots.
        """
        found = [
            each
            for each in self.places(service, model, within)
            if each.leader not in avoid
            and self.load(each.group) < spec.slots + queued_at_most
            and not self._asked_s(each.leader, each.born_ms, now_s)
            and self._limit.allows(service, each.leader, now_s)
        ]
        drawn = self._draw(found)
        return min(
            drawn, key=lambda each: self._expected_s(each, spec, prompt_tokens), default=None
        )

    def _draw(self, found: list[GroupView]) -> list[GroupView]:
        """Return a few groups to choose among, of the fast ones while those have places."""
        if not self._sampled or len(found) <= self._sampled:
            return found
        fastest = min(each.pace for each in found)
        fast = [each for each in found if each.pace <= FAST_PACE * fastest]
        return self._chance.sample(fast, min(self._sampled, len(fast)))

    def _expected_s(self, group: GroupView, spec: EngineSpec, prompt_tokens: int) -> float:
        """Return how long a group is expected to take for the first tokens of an answer.

        It reads one prompt after the other, so those that it has not read yet come first. After
        the loss of a group many callers' prompts are read again at once, which its number of
        requests does not show.
        """
        load = self._load(group.group, group.hall)
        unread = self._unread_tokens(group.group) + prompt_tokens if self._counts_unread else 0
        reading_s = unread / spec.read_tokens_per_s
        writing_s = FIRST_TOKENS * spec.token_s(min(load, spec.slots))
        queueing_s = max(0.0, load + 1 - spec.slots) * spec.turn_s
        return group.pace * (reading_s + writing_s + queueing_s)

    def unread(self) -> Counter[str]:
        """Return how many prompt tokens each place has yet to read for this entry."""
        return +self._unread

    def _unread_tokens(self, place: str) -> int:
        return self._unread[place] + self._unread_elsewhere.total(place)

    def pick_target(
        self,
        service: ServiceName,
        avoid: Collection[InstanceId],
        within: frozenset[HallId] | None = None,
        now_s: float = 0.0,
    ) -> ListedTarget | None:
        """Return the plain target with the least work, failing ones last, or None."""
        found = [
            each
            for each in self._open_targets(service, within)
            if each.instance not in avoid
            and not self._asked_s(each.instance, each.born_ms, now_s)
            and self._limit.allows(service, each.instance, now_s)
        ]
        if not found:
            return None
        return min(found, key=self._target_cost)

    def send_wait_s(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None,
        now_s: float,
    ) -> float:
        """Return how soon a place may be sent to again that the limit withholds; 0 if one may."""
        waits_s = [
            max(
                self._limit.wait_s(service, instance, now_s),
                self._asked_s(instance, born_ms, now_s),
            )
            for instance, born_ms in self._leaders_or_plain(service, model, within)
        ]
        return min(waits_s, default=0.0)

    def asked_wait_s(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None,
        now_s: float,
    ) -> float:
        """Return how soon a place takes requests again when none does by what they asked.

        It is 0 if one takes requests now, or if there is no place.
        """
        waits_s = (
            self._asked_s(instance, born_ms, now_s)
            for instance, born_ms in self._leaders_or_plain(service, model, within)
        )
        return min(waits_s, default=0.0)

    def all_backed_off(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None,
        now_s: float,
    ) -> bool:
        """Tell whether every place asked to be left alone; others may only have a limit."""
        return all(
            self._backoffs.wait_s(instance, now_s, born_ms)
            for instance, born_ms in self._leaders_or_plain(service, model, within)
        )

    def _asked_s(self, instance: InstanceId, born_ms: int | None, now_s: float) -> float:
        """Return for how long a target is to get nothing from this entry, by what it asked."""
        backoff_s = self._backoffs.wait_s(instance, now_s, born_ms)
        if self._gate is None:
            return backoff_s
        return max(backoff_s, self._gate.wait_s(instance, born_ms, now_s))

    def taking(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None,
        now_s: float,
    ) -> int:
        """Return how many groups of a model may be sent to now, by what they asked."""
        return sum(
            not self._asked_s(each.leader, each.born_ms, now_s)
            for each in self.places(service, model, within)
        )

    def _leaders_or_plain(
        self, service: ServiceName, model: ModelName | None, within: frozenset[HallId] | None
    ) -> list[tuple[InstanceId, int | None]]:
        """Return who is sent to for a model, and which life of theirs: leaders if there are any."""
        groups = [(each.leader, each.born_ms) for each in self.places(service, model, within)]
        return groups or [
            (each.instance, each.born_ms) for each in self._open_targets(service, within)
        ]

    def _open_targets(
        self, service: ServiceName, within: frozenset[HallId] | None
    ) -> list[ListedTarget]:
        """Return the plain targets that may be given requests, in some halls or in any."""
        anywhere = within is None and not self._closed_halls
        return [
            each
            for each in self._targets.values()
            if each.service == service
            and not each.leaving
            and not self._backoffs.leaving(each.instance, each.born_ms)
            and (anywhere or self._in_reach(frozenset((each.hall,)), within))
        ]

    def _target_cost(self, target: ListedTarget) -> float:
        load = self._load(target.instance, target.hall)
        return (1 + load) * self._health[target.instance].penalty()

    def _load(self, place: str, hall: HallId) -> float:
        away = 0.0 if hall == self._hall else OTHER_HALL_LOAD
        return self.load(place) + away + self._chance.random() * JITTER_LOAD

    def load(self, place: str) -> int:
        """Return how many attempts all entries have at a place."""
        return len(self._under_way.get(place, ())) + self._elsewhere.total(place)

    # What is under way.

    def begin(self, attempt: Attempt) -> None:
        """Count an attempt at its place, as it is sent."""
        self._limit.sent(attempt)
        if self._gate is not None:
            self._gate.sent(attempt)
        self._under_way[attempt.candidate].add(attempt)
        self._unread[attempt.candidate] += attempt.prompt_tokens

    def heard(self, attempt: Attempt, now_s: float) -> None:
        """Note that a part of an answer came; the first shows that the prompt has been read."""
        if attempt.last_received_s is None:
            self._read(attempt)
        if attempt.written_s is None:
            attempt.record_written(now_s)
        attempt.record_received(now_s)

    def _read(self, attempt: Attempt) -> None:
        self._unread[attempt.candidate] -= attempt.prompt_tokens
        if not self._unread[attempt.candidate]:
            del self._unread[attempt.candidate]

    def end(self, attempt: Attempt, failed: bool, now_s: float = 0.0) -> None:
        """Stop counting an attempt, and note how it went."""
        if attempt.written_s is None:
            attempt.record_written(max(now_s, attempt.begun_s))
        running = self._under_way[attempt.candidate]
        running.discard(attempt)
        if attempt.last_received_s is None:
            self._read(attempt)
        if not running:
            del self._under_way[attempt.candidate]
        self._health[attempt.instance].note(failed)


def halls_of(group: GroupView) -> frozenset[HallId]:
    """Return every hall that a group needs."""
    return frozenset((group.hall, *group.halls))


def _last_sign_s(running: Collection[Attempt]) -> float:
    """Return when a group last gave a part of an answer, or should have given the first."""
    heard = [attempt.last_received_s for attempt in running if attempt.last_received_s is not None]
    if heard:
        return max(heard)
    return min(attempt.begun_s for attempt in running) + FIRST_ANSWER_S


__all__ = ["Fleet", "halls_of"]
