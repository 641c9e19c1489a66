# SPDX-License-Identifier: Apache-2.0
"""Choose a group or target for each request, by the load that all entries put on it."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping

from reactivex.subject import Subject

from ochreway_core.ids import GroupId, HallId, InstanceId
from ochreway_direct.configuration import EngineSpec
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.fleets.remotecounts import RemoteCounts
from ochreway_direct.fleets.remotequeues import RemoteQueues
from ochreway_direct.fleets.targethealth import TargetHealth
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.waitingcalls import WaitingCalls
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.sendlimit import SendLimit, Unlimited
from ochreway_direct.targetlimits.limitgate import LimitGate
from ochreway_routing.backoffs import Backoffs

OTHER_HALL_LOAD = 0.5
"""Load, in requests, that is added to targets in other halls, so that local ones are preferred."""
JITTER_LOAD = 0.9
"""Maximum random load, in requests, that varies the choice among similarly loaded targets."""
SAMPLED_GROUPS = 3
"""Number of randomly sampled groups among which the best is chosen.

Counts of other entries are a few heartbeats old, so if every entry took the globally best group,
all would take the same one. ``python -m ochreway_standins.choicebench`` with 36 entries and 38
groups: p99 to the first part of an answer is 0.28 s when choosing among all groups, 0.16 s among
two, 0.12 s among three and 0.14 s among five.
"""
FAST_PACE_FACTOR = 1.5
"""Groups up to this factor slower than the fastest one are sampled like it."""
FIRST_ANSWER_TIMEOUT_S = 0.4
"""How long a group may take for its first answer before it counts as silent."""
FIRST_TOKENS = 10
"""Number of answer tokens that the expected time of a group covers: the first few events.

A larger number would prefer groups that write fast but still have many prompts to read.
"""


NO_VIEW = "0/0"
"""Name of the view of an entry that has none yet."""


class Fleet:
    """Choose the least loaded group or target for a call.

    The load from other entries is kept as one sum per target, so the cost of a choice depends on
    the number of eligible targets and not on the number of entries.
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
        """Start without groups and targets.

        Args:
            hall: the hall of this entry.
            rng: source of randomness for sampling and jitter.
            counts_unread: whether prompt tokens that are not read yet count as load.
            sample_size: number of groups sampled for each choice; ``None`` considers all.
            limit: bounds what each target gets from this entry.
            backoffs: targets that asked for a backoff or announced that they leave.
            gate: enforces the limits that targets announced.
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
        self._remote_queues = RemoteQueues()
        self._health: dict[InstanceId, TargetHealth] = defaultdict(TargetHealth)
        self.changes: Subject[None] = Subject()
        """Emits when a place may have become free."""

    # Updates of the view.

    def set_groups(self, groups: Iterable[GroupView], view_name: str = NO_VIEW) -> None:
        """Replace the groups that serve; ``view_name`` identifies the view in the log."""
        self.view_name = view_name
        self._groups = {each.group: each for each in groups}
        self._by_service = defaultdict(list)
        for group in self._groups.values():
            self._by_service[group.service].append(group)
        self.changes.on_next(None)

    def abandon(self, group: GroupId) -> None:
        """Abandon the attempts at a group that has lost a member."""
        for attempt in list(self._under_way.get(group, ())):
            attempt.abandon()

    def set_targets(self, targets: Iterable[ListedTarget]) -> None:
        """Replace the plain targets."""
        self._targets = {each.instance: each for each in targets}

    def set_leaving(self, leaving: Iterable[InstanceId]) -> None:
        """Replace the engines that are leaving; their groups get no new requests."""
        self._leaving = frozenset(leaving)
        self.changes.on_next(None)

    def set_closed_halls(self, halls: frozenset[HallId]) -> None:
        """Replace the halls that get no new requests."""
        self._closed_halls = halls
        self.changes.on_next(None)

    def set_remote_work(
        self, source: str, counts: Mapping[str, int], unread: Mapping[str, int] | None = None
    ) -> None:
        """Replace a source's counts of attempts and unread prompt tokens at each target."""
        self._remote_load.set_report(source, counts)
        self._remote_unread.set_report(source, unread or {})
        self.changes.on_next(None)

    def set_remote_queues(
        self, source: str, waiting: WaitingCalls, served_by: Mapping[str, int]
    ) -> None:
        """Replace what a source reports of its queues; its counts of attempts follow."""
        self._remote_queues.set_report(source, waiting, served_by)

    def drop_remote_work(self, source: str) -> None:
        """Drop the counts of a source."""
        self._remote_load.drop_report(source)
        self._remote_unread.drop_report(source)
        self._remote_queues.drop_report(source)
        self.changes.on_next(None)

    def announce_change(self) -> None:
        """Have waiting calls checked, as limits may have changed."""
        self.changes.on_next(None)

    # Queries and choices.

    def group(self, group: GroupId) -> GroupView | None:
        """Return a serving group, or None if it is not known."""
        return self._groups.get(group)

    def under_way(self) -> Counter[str]:
        """Return the number of this entry's attempts at each group or target."""
        return Counter(
            {target_id: len(each) for target_id, each in self._under_way.items() if each}
        )

    def eligible_groups(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> list[GroupView]:
        """Return the groups that may get requests for a model, within the given halls if any."""
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
        """Return whether requests may be sent to every one of these halls."""
        return not halls & self._closed_halls and (within is None or halls <= within)

    def all_halls_closed(
        self,
        service: ServiceName,
        model: ModelName | None,
        within: frozenset[HallId] | None = None,
    ) -> bool:
        """Return whether a model has groups or targets, and each of them needs a closed hall."""
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
        """Return whether any eligible group serves a model."""
        return bool(self.eligible_groups(service, model, within))

    def silent_groups(self, now_s: float, silent_s: float) -> list[GroupId]:
        """Return the groups with open attempts but no answer progress for ``silent_s``."""
        silent = []
        for group in self._groups:
            running = self._under_way.get(group)
            if running and now_s - _last_progress_s(running) > silent_s:
                silent.append(group)
        return silent

    def place_facts(
        self,
        service: ServiceName,
        model: ModelName,
        slots: int,
        within: frozenset[HallId] | None,
        now_s: float,
    ) -> PlaceFacts:
        """Return the facts by which the queue of a model decides."""
        eligible = self.eligible_groups(service, model, within)
        groups = [each.group for each in eligible]
        loads = [self.load(each) for each in groups]
        waits_s = [
            max(
                self._limit.wait_s(service, each.leader, now_s),
                self._requested_wait_s(each.leader, each.born_ms, now_s),
            )
            for each in eligible
        ]
        return PlaceFacts(
            groups=len(groups),
            slots=slots,
            free=sum(max(0, slots - load) for load in loads),
            load=sum(loads),
            own=sum(len(self._under_way.get(each, ())) for each in groups),
            sources=self._remote_load.source_count(),
            blocked_s=min(waits_s, default=0.0),
            next_window_s=min((each for each in waits_s if each > 0.0), default=math.inf),
            leaders=frozenset(each.leader for each in eligible),
            waiting=self._remote_queues.waiting(model),
            waiting_entries=self._remote_queues.waiting_entries(model),
            served_by=self._remote_queues.served_by(),
        )

    def has_serving_group(self, service: ServiceName) -> bool:
        """Return whether any group of a service is known to serve."""
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
        """Return the group with the least expected time, or None when all are full.

        A group may have ``max_queued`` requests waiting in addition to those in its slots.
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
        """Return a random sample of the candidates, limited to those about as fast as the best."""
        if not self._sample_size or len(candidates) <= self._sample_size:
            return candidates
        fastest = min(each.pace for each in candidates)
        fast = [each for each in candidates if each.pace <= FAST_PACE_FACTOR * fastest]
        return self._rng.sample(fast, min(self._sample_size, len(fast)))

    def _expected_s(self, group: GroupView, spec: EngineSpec, prompt_tokens: int) -> float:
        """Return how long a group is expected to take for the first tokens of an answer.

        A group reads prompts one after the other, so unread prompts delay a new one. After the
        loss of another group many prompts are read again at once, which the number of requests
        alone does not show.
        """
        load = self._load(group.group, group.hall)
        unread = self._unread_tokens(group.group) + prompt_tokens if self._counts_unread else 0
        reading_s = unread / spec.read_tokens_per_s
        writing_s = FIRST_TOKENS * spec.token_s(min(load, spec.slots))
        queueing_s = max(0.0, load + 1 - spec.slots) * spec.turn_s
        return group.pace * (reading_s + writing_s + queueing_s)

    def unread(self) -> Counter[str]:
        """Return the number of this entry's prompt tokens that each group has yet to read."""
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
        """Return the plain target with the lowest cost (load weighted by failures), or None."""
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
        """Return the shortest wait until a target may be sent to, 0 if one may be now."""
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
        """Return the shortest wait that the targets themselves requested.

        It is 0 if one accepts requests now, or if there is no target.
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
        """Return whether every target requested a backoff; an announced limit does not count."""
        return all(
            self._backoffs.wait_s(instance, now_s, born_ms)
            for instance, born_ms in self._leaders_or_plain_targets(service, model, within)
        )

    def _requested_wait_s(self, instance: InstanceId, born_ms: int | None, now_s: float) -> float:
        """Return how long a target must get no requests, by its backoff and its limit."""
        backoff_s = self._backoffs.wait_s(instance, now_s, born_ms)
        if self._gate is None:
            return backoff_s
        return max(backoff_s, self._gate.wait_s(instance, born_ms, now_s))

    def _leaders_or_plain_targets(
        self, service: ServiceName, model: ModelName | None, within: frozenset[HallId] | None
    ) -> list[tuple[InstanceId, int | None]]:
        """Return the instances that requests for a model are sent to, with their start times.

        These are the leaders of its groups, or the plain targets where there are no groups.
        """
        groups = [
            (each.leader, each.born_ms) for each in self.eligible_groups(service, model, within)
        ]
        return groups or [
            (each.instance, each.born_ms) for each in self._eligible_targets(service, within)
        ]

    def _eligible_targets(
        self, service: ServiceName, within: frozenset[HallId] | None
    ) -> list[ListedTarget]:
        """Return the plain targets that may get requests, within the given halls if any."""
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
        """Return how many attempts all entries have at a group or target."""
        return len(self._under_way.get(target_id, ())) + self._remote_load.total(target_id)

    # Attempts under way.

    def begin(self, attempt: Attempt) -> None:
        """Count an attempt at its target, as it is sent or gets a place; once if it does both."""
        if self.is_under_way(attempt):
            return
        self._limit.record_sent(attempt)
        if self._gate is not None:
            self._gate.record_sent(attempt)
        self._under_way[attempt.candidate].add(attempt)
        self._unread[attempt.candidate] += attempt.prompt_tokens

    def is_under_way(self, attempt: Attempt) -> bool:
        """Return whether an attempt is counted at its target."""
        return attempt in self._under_way.get(attempt.candidate, ())

    def on_answer_part(self, attempt: Attempt, now_s: float) -> None:
        """Record that a part of an answer arrived; the first means that the prompt was read."""
        if attempt.last_received_s is None:
            self._mark_prompt_read(attempt)
        if attempt.written_s is None:
            attempt.record_written(now_s)
        attempt.record_received(now_s)

    def _mark_prompt_read(self, attempt: Attempt) -> None:
        self._unread[attempt.candidate] -= attempt.prompt_tokens
        if not self._unread[attempt.candidate]:
            del self._unread[attempt.candidate]

    def end(self, attempt: Attempt, failed: bool, now_s: float = 0.0) -> None:
        """Stop counting an attempt, and record whether it failed."""
        if attempt.written_s is None:
            attempt.record_written(max(now_s, attempt.begun_s))
        running = self._under_way[attempt.candidate]
        running.discard(attempt)
        if attempt.last_received_s is None:
            self._mark_prompt_read(attempt)
        if not running:
            del self._under_way[attempt.candidate]
        self._health[attempt.instance].record_attempt(failed)
        self.changes.on_next(None)


def halls_of(group: GroupView) -> frozenset[HallId]:
    """Return every hall that a group depends on."""
    return frozenset((group.hall, *group.halls))


def _last_progress_s(running: Collection[Attempt]) -> float:
    """Return when the last part of an answer arrived, or when the first one was due."""
    received_s = [
        attempt.last_received_s for attempt in running if attempt.last_received_s is not None
    ]
    if received_s:
        return max(received_s)
    return min(attempt.begun_s for attempt in running) + FIRST_ANSWER_TIMEOUT_S


__all__ = ["Fleet", "halls_of"]
