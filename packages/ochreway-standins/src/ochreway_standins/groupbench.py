# SPDX-License-Identifier: Apache-2.0
"""Measure how much of the offered work groups can serve while engines are lost.

A day has engines that are listed one by one, a first request after eleven seconds, a member of
some group lost for good every three seconds, an empty engine added every four, one domain dark
for a while and one change of the lease's holder. The decisions are the coordinator's own.
"""

import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import click

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_standins.engineworld import LARGE, SMALL, SPEC, STEP_S, EngineWorld, FakeEngine

LEAD_S = 11.0
DAY_S = 34.0
LAG_S = 3.0
LOST_EVERY_S = 3.0
ADDED_EVERY_S = 4.0
DARK_AT_S, DARK_FOR_S = 11.0, 6.5
TAKEN_AT_S, TAKING_S = 14.0, 1.5
NEEDS = {LARGE.name: 1.65, SMALL.name: 1.7}
WORTH = {LARGE.name: 47.0, SMALL.name: 54.0}
WINDOW_S = 2.0
SHORT_LOADS = 10.0
NO_STAGING = CoordinatorTuning(loading_share=0.0, loading_beside_share=0.0)
"""Loads nothing any more once the first request was seen."""


@dataclass(frozen=True, slots=True)
class DayResult:
    """Hold the served share of a day's worth, of its worst windows, and the loads begun."""

    mean: float
    worst: float
    large: float
    small: float
    stranded: float


class Day:
    """Play one day."""

    def __init__(self, seed: int, load: float = 1.0, staging: bool = True) -> None:
        self._needs = {name: need * load for name, need in NEEDS.items()}
        self.world = EngineWorld(
            domains=3,
            engines=8,
            seed=seed,
            lag_s=LAG_S,
            tuning=CoordinatorTuning() if staging else NO_STAGING,
        )
        self.world.load_speed = SHORT_LOADS
        self._begin_s = self.world.now_s + LEAD_S
        self._dark: list[FakeEngine] = []
        self._without_holder_s = 0.0
        self._shares: list[dict[str, float]] = []
        self._stranded: list[float] = []

    def play(self) -> DayResult:
        """Return what was served."""
        self.world.run(LEAD_S)
        self.world.load_speed = 1.0
        events = self._events()
        while self.world.now_s < self._begin_s + DAY_S:
            while events and events[0][0] <= self.world.now_s:
                events.pop(0)[1]()
            self._step()
            self._note()
        return self._result()

    def _events(self) -> list[tuple[float, Callable[[], None]]]:
        random = self.world.random
        events: list[tuple[float, Callable[[], None]]] = [
            (DARK_AT_S, self._go_dark),
            (DARK_AT_S + DARK_FOR_S, self._come_back),
            (TAKEN_AT_S, self._lose_holder),
        ]
        at_s = random.uniform(2.0, 4.0)
        while at_s < DAY_S - 4.0:
            events.append((at_s, self._lose))
            at_s += LOST_EVERY_S * random.uniform(0.8, 1.2)
        at_s = 12.0
        while at_s < DAY_S:
            events.append((at_s, self._add))
            at_s += ADDED_EVERY_S * random.uniform(0.7, 1.3)
        timed = [(self._begin_s + at, call) for at, call in events]
        return sorted(timed, key=lambda event: event[0])

    def _lose(self) -> None:
        alive = [each for each in self.world.engines.values() if each.alive]
        joined = [each for each in alive if each.membership is not None]
        self.world.random.choice(joined or alive).alive = False

    def _add(self) -> None:
        domain = DomainId(f"d{self.world.random.randrange(3)}")
        self.world.add(domain).listed_s = self.world.now_s + 0.8

    def _go_dark(self) -> None:
        domain = f"d{self.world.random.randrange(3)}"
        engines = self.world.engines.values()
        self._dark = [each for each in engines if each.alive and each.domain == domain]
        for engine in self._dark:
            engine.alive = False

    def _come_back(self) -> None:
        for engine in self._dark:
            again = self.world.add(engine.domain, engine.staged)
            again.listed_s = self.world.now_s + self.world.random.uniform(0.2, 1.0)

    def _lose_holder(self) -> None:
        self._without_holder_s = TAKING_S

    def _step(self) -> None:
        if self._without_holder_s <= 0.0:
            self.world.step()
            return
        self._without_holder_s -= STEP_S
        self.world.now_s += STEP_S
        if self._without_holder_s <= 0.0:
            self.world.take_over()

    def _note(self) -> None:
        demand = self.world.coordinator.demand
        demand.update(self._needs, self.world.now_s)
        serving = {LARGE.name: 0.0, SMALL.name: 0.0}
        for engine in self.world.engines.values():
            if self._serves(engine):
                serving[engine.model] += self._capacity(engine)  # type: ignore[index]
        shares = {name: min(1.0, serving[name] / need) for name, need in self._needs.items()}
        self._shares.append({str(name): share for name, share in shares.items()})
        alive = [each for each in self.world.engines.values() if each.alive]
        used = serving[LARGE.name] * LARGE.size + serving[SMALL.name] * SMALL.size
        self._stranded.append(1.0 - used / max(1, len(alive)))

    def _serves(self, engine: FakeEngine) -> bool:
        """Tell whether an engine leads a group that is open and whole."""
        membership = engine.membership
        if not engine.alive or membership is None or membership.rank != 0:
            return False
        whole = all(self._stands(engine, each) for each in engine.members)
        return whole and membership.phase.value == "open"

    def _capacity(self, leader: FakeEngine) -> float:
        """Return the capacity of a group, which is less when it spans domains."""
        domains = {self.world.engines[each].domain for each in leader.members}
        return 1.0 if len(domains) == 1 else 1.0 / SPEC.far_factor

    def _stands(self, leader: FakeEngine, instance: str) -> bool:
        member = self.world.engines[instance]  # type: ignore[index]
        return member.alive and member.members == leader.members and bool(member.membership)

    def _result(self) -> DayResult:
        total = sum(WORTH.values())
        worths = [
            sum(WORTH[name] * shares[name] for name in WORTH) / total for shares in self._shares
        ]
        size = int(WINDOW_S / STEP_S)
        windows = [statistics.fmean(worths[i : i + size]) for i in range(0, len(worths), size)]
        return DayResult(
            statistics.fmean(worths),
            statistics.fmean(sorted(windows)[:2]),
            statistics.fmean(each[LARGE.name] for each in self._shares),
            statistics.fmean(each[SMALL.name] for each in self._shares),
            statistics.fmean(self._stranded),
        )


def play(seed: int, load: float = 1.0, staging: bool = True) -> DayResult:
    """Play the day of a seed."""
    return Day(seed, load, staging).play()


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=24, show_default=True)
@click.option("--jobs", default=4, show_default=True)
@click.option("--load", default=1.0, show_default=True, help="Offered work against the usual.")
@click.option("--staging/--no-staging", default=True, help="Load weights ahead of need.")
def main(seed: int, runs: int, jobs: int, load: float, staging: bool) -> None:
    """Print the served share of the offered worth over seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        seeds = range(seed, seed + runs)
        results = list(pool.map(play, seeds, [load] * runs, [staging] * runs))
    for name in ("mean", "worst", "large", "small", "stranded"):
        values = sorted(getattr(result, name) for result in results)
        middle = statistics.fmean(values)
        print(f"{name} mean={middle:.3f} least={values[0]:.3f} most={values[-1]:.3f}")
    print(f"seed={seed} runs={runs} load={load} staging={staging}")


if __name__ == "__main__":
    main()
