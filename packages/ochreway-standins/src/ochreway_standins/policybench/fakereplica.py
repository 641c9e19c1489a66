# SPDX-License-Identifier: Apache-2.0
"""A fake of a replica: slots, serial prefill, steady decode, a bounded prefix cache."""

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ochreway_core.ids import Epoch, GroupId, Incarnation
from ochreway_core.messages import LoadReport
from ochreway_core.reason import Reason
from ochreway_nodes.agent.serving import MAX_PREFILL_AHEAD_S, MAX_QUEUED_PER_SLOT
from ochreway_routing.fairqueue import FairQueue
from ochreway_routing.prefix import BLOCK_TOKENS
from ochreway_routing.servicemeter import ServiceMeter
from ochreway_routing.work import Work
from ochreway_standins.policybench.workload import Ask
from ochreway_standins.soak.clock import Clock

PREFILL_S_PER_TOKEN = 0.00012
DECODE_S_PER_TOKEN = 0.02
SLOTS = 16
CACHE_BLOCKS = 1500
EVENT_LOST_SHARE = 0.2
FAIL_AFTER_S = 0.05

FirstToken = Callable[[], None]
Ended = Callable[[bool], None]
Refused = Callable[[Reason], None]


@dataclass(slots=True)
class Job:
    """Hold one attempt at a replica."""

    ask: Ask
    first_token: FirstToken
    ended: Ended
    refused: Refused


@dataclass(slots=True)
class FakeReplica:
    """Serve jobs; a queue of the product's own decides which goes next."""

    group: GroupId
    clock: Clock
    random: random.Random
    slowness: float = 1.0
    failing: bool = False
    running: int = 0
    served: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    _prefill_free_s: float = 0.0
    _cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _added: list[int] = field(default_factory=list)
    _evicted: list[int] = field(default_factory=list)
    meter: ServiceMeter[int] = field(default_factory=ServiceMeter)
    received: dict[int, int] = field(default_factory=dict)
    queue: FairQueue[Job] = field(
        default_factory=lambda: FairQueue(capacity=SLOTS * MAX_QUEUED_PER_SLOT, slots=SLOTS)
    )

    def submit(self, job: Job) -> None:
        """Queue a job, or refuse it or another in its place."""
        now_s = self.clock.now_s
        ask = job.ask
        tokens = self._expected_tokens(ask)
        work = Work(
            job,
            ask.organisation,
            ask.priority,
            float(ask.prompt_tokens + ask.max_tokens),
            tokens,
            ask.deadline_s,
            self.meter.expected_run_s(tokens, ask.max_tokens),
            now_s,
        )
        wait_s = self.meter.wait_s(*self.queue.ahead_of(work), SLOTS)
        if now_s + wait_s + work.expected_run_s > work.deadline_s:
            job.refused(Reason.DEADLINE_TOO_SHORT)
            return
        offered = self.queue.offer(work)
        if offered.is_err():
            job.refused(offered.unwrap_err())
            return
        displaced = offered.unwrap()
        if displaced is not None:
            displaced.item.refused(Reason.OVER_SHARE)
        self._dispatch()

    def _dispatch(self) -> None:
        for work in self.queue.remove_infeasible(self.clock.now_s, self.meter.backlog_s):
            work.item.refused(Reason.DEADLINE_TOO_SHORT)
        while self.running < SLOTS and self.meter.backlog_s < MAX_PREFILL_AHEAD_S:
            following = self.queue.dequeue()
            if following is None:
                return
            self._start(following.item)

    def _expected_tokens(self, ask: Ask) -> float:
        return self.meter.prefill_tokens(ask.blocks, ask.prompt_tokens, self.clock.now_s)

    def _start(self, job: Job) -> None:
        self.running += 1
        if self.failing:
            self.clock.after(FAIL_AFTER_S, lambda: self._finish(job, False))
            return
        now_s = self.clock.now_s
        tokens = self._expected_tokens(job.ask)
        self.meter.record_start(job.ask.number, job.ask.blocks, tokens, now_s)
        prefill_s = self._prefill_tokens(job.ask) * PREFILL_S_PER_TOKEN * self.slowness
        first_s = max(now_s, self._prefill_free_s) + prefill_s
        self._prefill_free_s = first_s
        decode_s = job.ask.max_tokens * DECODE_S_PER_TOKEN * self.slowness
        self.clock.at(first_s, lambda: self._first_token(job))
        self.clock.at(first_s + decode_s, lambda: self._finish(job, True))

    def _first_token(self, job: Job) -> None:
        self.meter.record_first_token(job.ask.number, self.clock.now_s)
        job.first_token()
        self._dispatch()

    def _prefill_tokens(self, ask: Ask) -> int:
        matched = 0
        for block in ask.blocks:
            if block not in self._cache:
                break
            matched += 1
        for block in ask.blocks:
            if block not in self._cache:
                self._added.append(block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._evicted.append(self._cache.popitem(last=False)[0])
        self.cached_tokens += matched * BLOCK_TOKENS
        self.prompt_tokens += ask.prompt_tokens
        return max(ask.prompt_tokens - matched * BLOCK_TOKENS, 1)

    def _finish(self, job: Job, well: bool) -> None:
        self.running -= 1
        tokens = job.ask.max_tokens
        self.meter.record_end(job.ask.number, tokens, tokens, self.clock.now_s)
        self.served += well
        self.queue.release_slot(job.ask.organisation)
        job.ended(well)
        self._dispatch()

    def _queued_s(self) -> float:
        tokens = sum(work.prefill_tokens for work in self.queue.iter_queued())
        return tokens * self.meter.prefill_s_per_token

    def report(self) -> LoadReport:
        """Return a load report; some cache events are lost for good."""
        added = tuple(each for each in self._added if self.random.random() > EVENT_LOST_SHARE)
        evicted = tuple(each for each in self._evicted if self.random.random() > EVENT_LOST_SHARE)
        self._added.clear()
        self._evicted.clear()
        return LoadReport(
            group=self.group,
            epoch=Epoch(1),
            incarnation=Incarnation(1),
            gate=Reason.NONE,
            in_flight=self.running,
            queued=len(self.queue),
            backlog_s=self.meter.backlog_s + self._queued_s(),
            next_s=self.meter.next_s(SLOTS),
            received=0,
            slots=SLOTS,
            cached=added,
            evicted=evicted,
        )


__all__ = ["DECODE_S_PER_TOKEN", "PREFILL_S_PER_TOKEN", "SLOTS", "FakeReplica", "Job"]
