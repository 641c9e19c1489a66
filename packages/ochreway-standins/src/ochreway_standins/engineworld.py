# SPDX-License-Identifier: Apache-2.0
"""Engines under virtual time, which do what the coordinator orders and watch its promises."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ochreway_core.ids import DomainId, Epoch, HallId, InstanceId, Version
from ochreway_direct.configuration import Configuration, EngineSpec, ModelSpec, Service
from ochreway_direct.coordinator import Assignment, Coordinator, CoordinatorTuning
from ochreway_direct.coordinator.grouprecord import GroupPhase
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.order import Close, Join, Leave, Open, Order, OrderOutcome, Stage

STEP_S = 0.05
FOREVER_S = 1.0e9
LARGE = ModelSpec(ModelName("large"), size=4, share=0.67, pace=1.0, load_s=16.0, warm_s=1.6)
SMALL = ModelSpec(ModelName("small"), size=2, share=0.33, pace=0.6, load_s=12.0, warm_s=1.1)
SPEC = EngineSpec(
    slots=24,
    models=(LARGE, SMALL),
    step_s=0.006,
    per_sequence_s=0.0005,
    context_s_per_1k_tokens=0.00001,
    read_tokens_per_s=46_000.0,
    usual_prompt_tokens=1000,
    usual_answer_tokens=85,
    staged_at_most=1,
    loads_per_s=3.0,
    loads_at_once=6,
    form_s=0.3,
    far_factor=3.0,
)
SERVICE = ServiceName("models")
OFFERED = {LARGE.name: 3.0, SMALL.name: 3.6}
"""Work for between one and two groups of each model."""
CONFIGURATION = Configuration(Version(1), services=(Service(SERVICE, 100, SPEC),))


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what an engine was from a time on."""

    since_s: float
    state: EngineState


@dataclass(slots=True, eq=False)
class FakeEngine:
    """Stand in for one engine."""

    instance: InstanceId
    domain: DomainId
    service: ServiceName = ServiceName("models")
    alive: bool = True
    leaving: bool = False
    staged: ModelName | None = None
    listed_s: float = 0.0
    loading: ModelName | None = None
    load_left_s: float = 0.0
    loads_quickly: bool = False
    joining_load: bool = False
    loads_next: ModelName | None = None
    loads_next_s: float = 0.0
    last_model: ModelName | None = None
    members: tuple[InstanceId, ...] = ()
    membership: Membership | None = None
    model: ModelName | None = None
    ready_s: float = 0.0
    opens_s: float | None = None
    busy_for_s: float = 0.0
    pace: float = 1.0
    ends_s: float | None = None
    cold_s: float = 0.0
    highest: Epoch = field(default=Epoch(0))
    orders_taken: int = 0
    reports: deque[Report] = field(default_factory=deque)

    def state(self, now_s: float) -> EngineState:
        """Return what the engine reports, which is as of some time before."""
        self.note(now_s)
        while len(self.reports) > 1 and self.reports[1].since_s <= now_s - SPEC.report_lag_s:
            self.reports.popleft()
        return self.reports[0].state

    def note(self, now_s: float) -> None:
        """Keep what the engine is now for later reports."""
        self.advance(now_s)
        staged = (self.staged,) if self.staged is not None else ()
        state = EngineState(self.domain, self.model, staged, self.membership)
        state = replace(state, busy=self.loading is not None, pace=self.pace)
        state = replace(state, orders_taken=self.orders_taken)
        if not self.reports or self.reports[-1].state != state:
            self.reports.append(Report(now_s, state))

    def advance(self, now_s: float) -> None:
        """Finish what is due."""
        if self.loading is not None and self.load_left_s <= 0.0:
            self.staged, self.loading = self.loading, None
            if self.loads_next is not None:
                self.loading, self.loads_next = self.loads_next, None
                self.load_left_s = self.loads_next_s
            elif self.joining_load:
                self.joining_load = False
                self.ready_s = now_s
        if self.membership is None or self.joining_load:
            return
        if self.membership.phase is MemberPhase.JOINING and now_s >= self.ready_s:
            self.enter(MemberPhase.READY)
        if self.ends_s is not None and now_s >= self.ends_s:
            self.ends_s = None
            self.enter(MemberPhase.READY)
        if self.opens_s is not None and now_s >= self.opens_s:
            self.opens_s = None
            self.enter(MemberPhase.OPEN)

    def finish_load(self, model: ModelSpec) -> None:
        """Have a model's weights at once, in place of what is being loaded."""
        self.staged, self.loading = model.name, None

    def enter(self, phase: MemberPhase) -> None:
        """Change the phase of the membership."""
        assert self.membership is not None
        self.membership = replace(self.membership, phase=phase)
        self.last_model = self.model

    def listed(self) -> ListedTarget:
        """Return the entry in the platform's list."""
        return ListedTarget(
            self.instance,
            self.service,
            f"{self.instance}:1",
            HallId(self.domain),
            self.leaving,
            24,
            EngineState(self.domain, self.model, (), self.membership),
            self.cold_s,
        )


class EngineWorld:
    """Run a coordinator against engines; faults are lost answers, late orders and crashes."""

    def __init__(
        self,
        domains: int = 2,
        engines: int = 8,
        seed: int = 1,
        lag_s: float = 0.0,
        tuning: CoordinatorTuning | None = None,
        spec: EngineSpec = SPEC,
    ) -> None:
        self.spec = spec
        self.tuning = tuning or CoordinatorTuning()
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.engines: dict[InstanceId, FakeEngine] = {}
        self.replaced: dict[InstanceId, InstanceId] = {}
        self.violations: list[str] = []
        self.cut = 0
        self.late: list[tuple[float, Assignment]] = []
        self.lost_share = 0.0
        self.checks_orders = True
        self.leaves_counted = True
        self.load_speed = 1.0
        self.coordinator = Coordinator(self.tuning)
        self.last_models = LastModels()
        self.terms = 0
        self.measured = lag_s == 0.0
        self.made = 0
        for domain in range(domains):
            for _ in range(engines):
                self.add(DomainId(f"d{domain}")).listed_s = self.now_s + self.random.uniform(
                    0.0, lag_s
                )
        self.take_over()

    # Faults.

    def add(self, domain: DomainId, staged: ModelName | None = None) -> FakeEngine:
        """Add an engine."""
        self.made += 1
        engine = FakeEngine(InstanceId(f"e{self.made}"), domain, staged=staged)
        self.engines[engine.instance] = engine
        return engine

    def crash(self, instance: InstanceId) -> None:
        """Lose an engine for good."""
        self.engines[instance].alive = False

    def reborn(self, instance: InstanceId) -> FakeEngine:
        """End an engine, and start another at its address; the list names both for a while."""
        ended = self.engines[instance]
        started = self.add(ended.domain, ended.staged)
        ended.alive = False
        self.replaced[instance] = started.instance
        return started

    def _at_address_of(self, instance: InstanceId) -> FakeEngine:
        """Return the engine that answers where one is listed."""
        return self.engines[self.replaced.get(instance, instance)]

    def take_over(self) -> None:
        """Let another process take the lease: it knows nothing but the list."""
        self.terms += 1
        before = self.coordinator
        self.coordinator = Coordinator(self.tuning)
        self.coordinator.configure(
            Configuration(Version(1), services=(Service(SERVICE, 100, self.spec),))
        )
        if self.measured:
            for measured_s in (self.now_s - 60.0, self.now_s):
                self.coordinator.demand.update(OFFERED, measured_s)
        self.coordinator.begin(Epoch(self.terms * 100_000), self.now_s, self.last_models)
        self.former = before
        self._list()

    # Time.

    def run(self, duration_s: float, each_step: Callable[[], None] | None = None) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.step()
            if each_step is not None:
                each_step()

    def run_until(self, check: Callable[[], bool], bound_s: float) -> float:
        """Let time pass until a check holds; return how long it took."""
        begun_s = self.now_s
        while not check():
            self.step()
            if self.now_s - begun_s > bound_s:
                raise AssertionError(f"not within {bound_s} s")
        return self.now_s - begun_s

    def pass_time(self, duration_s: float) -> None:
        """Let engines go on for a while with nobody to give orders."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self._advance()

    def _advance(self) -> None:
        self.now_s += STEP_S
        self._load()
        for engine in self.engines.values():
            engine.note(self.now_s)

    def step(self) -> None:
        """Let one step pass."""
        self._advance()
        due = [each for at_s, each in self.late if at_s <= self.now_s]
        self.late = [(at_s, each) for at_s, each in self.late if at_s > self.now_s]
        for assignment in due:
            self._carry_out(assignment)
        if self.random.random() < 0.1:
            self._list()
        self._probe()
        for assignment in self.coordinator.tick(self.now_s):
            self._give(assignment)

    def _load(self) -> None:
        """Let every load go on; more than the weight store takes share its rate.

        Those that began while loads were quick are not counted.
        """
        loading = [each for each in self.engines.values() if each.alive and each.loading]
        counted = sum(not each.loads_quickly for each in loading)
        rate = min(1.0, self.spec.loads_at_once / max(1, counted))
        for engine in loading:
            engine.load_left_s -= STEP_S * (1.0 if engine.loads_quickly else rate)

    def _begin_load(self, engine: FakeEngine, model: ModelSpec) -> None:
        """Begin a load, which takes as long as one that begins now does."""
        engine.loading = model.name
        engine.loads_quickly = self.load_speed > 1.0
        engine.load_left_s = model.load_s / self.load_speed

    def _list(self) -> None:
        listed = [
            each.listed()
            for each in self.engines.values()
            if (each.alive or each.service != SERVICE or each.instance in self.replaced)
            and each.listed_s <= self.now_s
        ]
        self.last_models.record_targets(listed)
        self.coordinator.on_listing(listed, self.now_s)

    def _probe(self) -> None:
        for probe in self.coordinator.due_probes(self.now_s):
            record = probe.record
            engine = self._at_address_of(record.instance)
            if engine.alive:
                state = engine.state(self.now_s)
                self.coordinator.on_state(record.instance, state, self.now_s)
            else:
                self.coordinator.on_silence(record.instance, False, self.now_s)

    def _give(self, assignment: Assignment) -> None:
        engine = self.engines[assignment.instance]
        outcome = OrderOutcome.UNKNOWN
        if assignment.instance in self.replaced:
            outcome = OrderOutcome.OTHER_INSTANCE
        elif not engine.alive:
            outcome = OrderOutcome.UNREACHABLE
        elif self.random.random() < self.lost_share:
            self.lose(assignment, self.random.uniform(2.0, 12.0))
            return
        else:
            outcome = self._carry_out(assignment)
        self._report_outcome(assignment, outcome)

    def lose(self, assignment: Assignment, late_s: float) -> None:
        """Leave an order unanswered, and carry it out some time later."""
        self.late.append((self.now_s + late_s, assignment))
        self._report_outcome(assignment, OrderOutcome.UNKNOWN)

    def _report_outcome(self, assignment: Assignment, outcome: OrderOutcome) -> None:
        self.coordinator.on_order_outcome(
            assignment.instance, assignment.order, outcome, self.now_s
        )

    # What engines do.

    def _carry_out(self, assignment: Assignment) -> OrderOutcome:
        engine, order = self.engines[assignment.instance], assignment.order
        if not engine.alive:
            return OrderOutcome.UNREACHABLE
        engine.advance(self.now_s)
        if assignment.orders_taken not in (None, engine.orders_taken) and self.checks_orders:
            return OrderOutcome.CONFLICT
        outcome = self._apply(engine, order)
        left = isinstance(order, Leave) and outcome is OrderOutcome.HOLDS
        engine.orders_taken += outcome is OrderOutcome.BEGUN or (left and self.leaves_counted)
        return outcome

    def _apply(self, engine: FakeEngine, order: Order) -> OrderOutcome:
        match order:
            case Join():
                return self._join(engine, order)
            case Stage(model):
                loaded = self.spec.model(model)
                assert loaded is not None
                self._begin_load(engine, loaded)
                return OrderOutcome.BEGUN
            case Open(group, epoch) | Close(group, epoch) | Leave(group, epoch):
                membership = engine.membership
                named = membership is not None and (membership.group, membership.epoch)
                if named != (group, epoch):
                    return OrderOutcome.CONFLICT
                return self._change(engine, order)

    def _join(self, engine: FakeEngine, order: Join) -> OrderOutcome:
        if order.epoch < engine.highest:
            return OrderOutcome.FENCED
        current = engine.membership
        if current is not None and current.group == order.group and current.epoch == order.epoch:
            return OrderOutcome.HOLDS if engine.members == order.members else OrderOutcome.FENCED
        self._watch_join(engine)
        model = self.spec.model(order.model)
        assert model is not None
        if engine.last_model == order.model:
            wait_s = 0.2
        elif engine.loading is not None:
            # What is being loaded comes first, and may push out what is needed.
            wait_s = FOREVER_S
            engine.joining_load = True
            engine.loads_next = order.model if engine.loading != order.model else None
            engine.loads_next_s = model.load_s
        elif engine.staged == order.model:
            wait_s = model.warm_s
        else:
            wait_s = FOREVER_S
            engine.joining_load = True
            self._begin_load(engine, model)
        engine.highest = order.epoch
        engine.members = order.members
        engine.model = order.model
        if engine.last_model != order.model:
            # The weights are proved by the end of the join, not by its beginning.
            engine.last_model = None
        rank = order.members.index(engine.instance)
        engine.membership = Membership(order.group, order.epoch, rank, MemberPhase.JOINING)
        engine.ready_s = self.now_s + wait_s
        engine.opens_s = None
        return OrderOutcome.BEGUN

    def _watch_join(self, engine: FakeEngine) -> None:
        if not engine.members or engine.membership is None:
            return
        leader = self.engines[engine.members[0]]
        same = leader.membership is not None and leader.members == engine.members
        opened = same and leader.membership.phase in (MemberPhase.OPEN, MemberPhase.CLOSING)  # type: ignore[union-attr]
        if leader.alive and opened:
            self.violations.append(f"{engine.instance} joined anew under its open leader")

    def _change(self, engine: FakeEngine, order: Open | Close | Leave) -> OrderOutcome:
        assert engine.membership is not None
        if isinstance(order, Leave):
            runs_open = engine.membership.phase is MemberPhase.OPEN and engine.busy_for_s > 0.0
            self.cut += engine.ends_s is not None or runs_open
            engine.ends_s = None
            engine.membership = None
            engine.model = None
            engine.joining_load = False
            engine.loads_next = None
            engine.opens_s = None
            return OrderOutcome.HOLDS
        if isinstance(order, Close):
            return self._close(engine)
        if engine.membership.phase is not MemberPhase.READY:
            return OrderOutcome.CONFLICT
        if engine.opens_s is not None:
            return OrderOutcome.HOLDS
        self._watch_open(engine)
        engine.opens_s = self.now_s + self.spec.form_s
        return OrderOutcome.BEGUN

    def _close(self, engine: FakeEngine) -> OrderOutcome:
        """Take no new requests, and end those that run in their time."""
        if engine.busy_for_s <= 0.0:
            engine.enter(MemberPhase.READY)
            return OrderOutcome.HOLDS
        if engine.ends_s is None:
            engine.enter(MemberPhase.CLOSING)
            engine.ends_s = self.now_s + engine.busy_for_s
        return OrderOutcome.BEGUN

    def _watch_open(self, leader: FakeEngine) -> None:
        for instance in leader.members:
            member = self.engines[instance]
            member.advance(self.now_s)
            joined = member.members == leader.members and member.membership is not None
            ready = joined and member.membership.phase is not MemberPhase.JOINING  # type: ignore[union-attr]
            if member.alive and not ready:
                self.violations.append(f"{leader.instance} opened without {instance}")

    # What is asked.

    def serving(self, model: ModelSpec) -> int:
        """Return how many groups of a model the coordinator believes to serve."""
        return sum(1 for view in self.coordinator.views() if view.model == model.name)

    def views_inside(self) -> int:
        """Return how many groups serve whose members are in one domain."""
        return sum(1 for view in self.coordinator.views() if view.pace < self.spec.far_factor)

    def members(self, model: ModelSpec) -> list[InstanceId]:
        """Return the members of the first group of a model that serves."""
        return next(
            list(group.members)
            for group in self.coordinator.groups.values()
            if group.model == model.name and group.phase is GroupPhase.SERVING
        )


__all__ = ["CONFIGURATION", "LARGE", "SERVICE", "SMALL", "SPEC", "EngineWorld", "FakeEngine"]
