# SPDX-License-Identifier: Apache-2.0
"""The groups and targets that an entry may send to, and what is under way at each."""

import random
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping

from ochreway_core.ids import GroupId, HallId, InstanceId
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.fleets.remotecounts import RemoteCounts
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
FAST_PACE_FACTOR = 1.5
"""By how much slower than the fastest a group may be to be drawn like it."""
FIRST_ANSWER_TIMEOUT_S = 0.4
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
        rng: random.Random,
        counts_unread: bool = True,
        sample_size: int | None = None,
        limit: SendLimit | None = None,
        backoffs: Backoffs | None = None,
        gate: LimitGate | None = None,
    ) -> None:
        """Start without places; with ``sampled``, choose the best of so many drawn at random.

        ``limit`` bounds what each target gets from this entry; ``backoffs`` knows which of them
        asked to get nothing for a while, or for good, and ``gate`` which named a limit.
        """
        self._hall = hall
        self.view_name = NO_VIEW
        self._rng = rng
        self._counts_unread = counts_unread
        self._sample_size = sample_size
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
        self._remote_load = RemoteCounts()
        self._remote_unread = RemoteCounts()
        self._health: dict[InstanceId, TargetHealth] = defaultdict(TargetHealth)

    # What is learned.

    def set_groups(self, groups: Iterable[GroupView], view_name: str = NO_VIEW) -> None:
        """Replace the groups that serve, as a view named for the log shows them."""
        self.view_name = view_name
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

    def set_remote_work(
        self, source: str, counts: Mapping[str, int], unread: Mapping[str, int] | None = None
    ) -> None:
        """Take what a source says is under way elsewhere, and the prompt tokens not read yet."""
        self._remote_load.set_report(source, counts)
        self._remote_unread.set_report(source, unread or {})

    def drop_remote_work(self, source: str) -> None:
        """Drop what a source said."""
        self._remote_load.drop_report(source)
        self._remote_unread.drop_report(source)

    # What is asked.

    def group(self, group: GroupId) -> GroupView | None:
        """Return a group that serves."""
        return self._groups.get(group)

    def under_way(self) -> Counter[str]:
        """Return how many attempts run at each place."""
        return Counter(
            {target_id: len(each) for target_id, each in self._under_way.items() if each}
        )

    def eligible_groups(
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
            and (anywhere or self._halls_allowed(halls_of(each), within))
        ]

    def _halls_allowed(self, halls: frozenset[HallId], within: frozenset[HallId] | None) -> bool:
        """Tell whether all of some halls may be sent to."""
        return not halls & self._closed_halls and (within is None or halls <= within)

    def all_halls_closed(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> bool:
        """Tell whether there are places for a model, all of them in halls that are closed."""
        if not self._closed_halls:
            return False
        group_halls = [
            halls_of(each)
            for each in self._by_service.get(service, ())
            if model is None or each.model == model
        ]
        group_halls += [
            frozenset((t.hall,)) for t in self._targets.values() if t.service == service
        ]
        allowed = [halls for halls in group_halls if within is None or halls <= within]
        return bool(allowed) and all(halls & self._closed_halls for halls in allowed)

    def has_group(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> bool:
        """Tell whether any group serves a model."""
        return bool(self.eligible_groups(service, model, within))

    def silent_groups(self, now_s: float, silent_s: float) -> list[GroupId]:
        """Return the groups where answers are awaited and none has begun or gone on for a while."""
        silent = []
        for group in self._groups:
            running = self._under_way.get(group)
            if running and now_s - _last_progress_s(running) > silent_s:
                silent.append(group)
        return silent

    def has_serving_group(self, service: ServiceName) -> bool:
        """Tell whether any group of a service serves."""
        return bool(self._by_service.get(service))

    def pick_group(
        self,
        service: ServiceName,
        model: ModelName | None,
        avoid: Collection[InstanceId],
        spec: EngineSpec,
        max_queued: int,
        prompt_tokens: int = 0,
        within: frozenset[HallId] | None = None,
        now_s: float = 0.0,
    ) -> GroupView | None:
        """Return the group that is to take the least time, or None when all have no place left.

        So many requests may wait at a group beside those in its slots.
        """
        candidates = [
            each
            for each in self.eligible_groups(service, model, within)
            if each.leader not in avoid
            and self.load(each.group) < spec.slots + max_queued
            and not self._requested_wait_s(each.leader, each.born_ms, now_s)
            and self._limit.allows(service, each.leader, now_s)
        ]
        choices = self._sample_groups(candidates)
        return min(
            choices, key=lambda each: self._expected_s(each, spec, prompt_tokens), default=None
        )

    def _sample_groups(self, candidates: list[GroupView]) -> list[GroupView]:
        """Return a few groups to choose among, of the fast ones while those have places."""
        if not self._sample_size or len(candidates) <= self._sample_size:
            return candidates
        fastest = min(each.pace for each in candidates)
        fast = [each for each in candidates if each.pace <= FAST_PACE_FACTOR * fastest]
        return self._rng.sample(fast, min(self._sample_size, len(fast)))

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

    def _unread_tokens(self, target_id: str) -> int:
        return self._unread[target_id] + self._remote_unread.total(target_id)

    def pick_target(
        self,
        service: ServiceName,
        avoid: Collection[InstanceId],
        within: frozenset[HallId] | None = None,
        now_s: float = 0.0,
    ) -> ListedTarget | None:
        """Return the plain target with the least work, failing ones last, or None."""
        candidates = [
            each
            for each in self._eligible_targets(service, within)
            if each.instance not in avoid
            and not self._requested_wait_s(each.instance, each.born_ms, now_s)
            and self._limit.allows(service, each.instance, now_s)
        ]
        if not candidates:
            return None
        return min(candidates, key=self._target_cost)

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
                self._requested_wait_s(instance, born_ms, now_s),
            )
            for instance, born_ms in self._leaders_or_plain_targets(service, model, within)
        ]
        return min(waits_s, default=0.0)

    def requested_wait_s(
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
            self._requested_wait_s(instance, born_ms, now_s)
            for instance, born_ms in self._leaders_or_plain_targets(service, model, within)
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
            for instance, born_ms in self._leaders_or_plain_targets(service, model, within)
        )

    def _requested_wait_s(self, instance: InstanceId, born_ms: int | None, now_s: float) -> float:
        """Return for how long a target is to get nothing from this entry, by what it asked."""
        backoff_s = self._backoffs.wait_s(instance, now_s, born_ms)
        if self._gate is None:
            return backoff_s
        return max(backoff_s, self._gate.wait_s(instance, born_ms, now_s))

    def count_accepting_groups(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None,
        now_s: float,
    ) -> int:
        """Return how many groups of a model may be sent to now, by what they asked."""
        return sum(
            not self._requested_wait_s(each.leader, each.born_ms, now_s)
            for each in self.eligible_groups(service, model, within)
        )

    def _leaders_or_plain_targets(
        self, service: ServiceName, model: ModelName | None, within: frozenset[HallId] | None
    ) -> list[tuple[InstanceId, int | None]]:
        """Return who is sent to for a model, and which life of theirs: leaders if there are any."""
        groups = [
            (each.leader, each.born_ms) for each in self.eligible_groups(service, model, within)
        ]
        return groups or [
            (each.instance, each.born_ms) for each in self._eligible_targets(service, within)
        ]

    def _eligible_targets(
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
            and (anywhere or self._halls_allowed(frozenset((each.hall,)), within))
        ]

    def _target_cost(self, target: ListedTarget) -> float:
        load = self._load(target.instance, target.hall)
        return (1 + load) * self._health[target.instance].penalty()

    def _load(self, target_id: str, hall: HallId) -> float:
        hall_penalty = 0.0 if hall == self._hall else OTHER_HALL_LOAD
        return self.load(target_id) + hall_penalty + self._rng.random() * JITTER_LOAD

    def load(self, target_id: str) -> int:
        """Return how many attempts all entries have at a place."""
        return len(self._under_way.get(target_id, ())) + self._remote_load.total(target_id)

    # What is under way.

    def begin(self, attempt: Attempt) -> None:
        """Count an attempt at its place, as it is sent."""
        self._limit.sent(attempt)
        if self._gate is not None:
            self._gate.sent(attempt)
        self._under_way[attempt.place].add(attempt)
        self._unread[attempt.place] += attempt.prompt_tokens

    def on_answer_part(self, attempt: Attempt, now_s: float) -> None:
        """Note that a part of an answer came; the first shows that the prompt has been read."""
        if attempt.heard_s is None:
            self._mark_prompt_read(attempt)
        if attempt.written_s is None:
            attempt.written(now_s)
        attempt.heard(now_s)

    def _mark_prompt_read(self, attempt: Attempt) -> None:
        self._unread[attempt.place] -= attempt.prompt_tokens
        if not self._unread[attempt.place]:
            del self._unread[attempt.place]

    def end(self, attempt: Attempt, failed: bool, now_s: float = 0.0) -> None:
        """Stop counting an attempt, and note how it went."""
        if attempt.written_s is None:
            attempt.written(max(now_s, attempt.begun_s))
        running = self._under_way[attempt.place]
        running.discard(attempt)
        if attempt.heard_s is None:
            self._mark_prompt_read(attempt)
        if not running:
            del self._under_way[attempt.place]
        self._health[attempt.instance].record_attempt(failed)


def halls_of(group: GroupView) -> frozenset[HallId]:
    """Return every hall that a group needs."""
    return frozenset((group.hall, *group.halls))


def _last_progress_s(running: Collection[Attempt]) -> float:
    """Return when a group last gave a part of an answer, or should have given the first."""
    received_s = [attempt.heard_s for attempt in running if attempt.heard_s is not None]
    if received_s:
        return max(received_s)
    return min(attempt.begun_s for attempt in running) + FIRST_ANSWER_TIMEOUT_S


__all__ = ["Fleet", "halls_of"]
