# SPDX-License-Identifier: Apache-2.0
"""Measure how long a model is short of a group after a fault, by fault and by what stands ready.

The decisions are the coordinator's own, under virtual time: ``make group-repairs``.
"""

import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import Enum

import click

from ochreway_core.ids import InstanceId
from ochreway_standins.engineworld import LARGE, SMALL, EngineWorld

SETTLE_S = 60.0
BOUND_S = 60.0
TAKING_S = 1.5

Fault = Callable[[EngineWorld, InstanceId], None]
FAULTS: dict[str, Fault] = {}


class Ready(Enum):
    """Say what can stand in for a lost member."""

    STAGED = "staged substitutes"
    COLD = "substitutes without the weights"


@dataclass(frozen=True, slots=True)
class Repair:
    """Hold how long a lost group was still shown, and until its model had as many again."""

    noticed_s: float
    restored_s: float


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def add(cause: Fault) -> Fault:
        FAULTS[name] = cause
        return cause

    return add


@fault("member_lost")
def _lose_member(world: EngineWorld, leader: InstanceId) -> None:
    world.crash(world.engines[leader].members[1])


@fault("leader_lost")
def _lose_leader(world: EngineWorld, leader: InstanceId) -> None:
    world.crash(leader)


@fault("member_drains")
def _drain_member(world: EngineWorld, leader: InstanceId) -> None:
    world.engines[world.engines[leader].members[1]].leaving = True


@fault("member_and_holder_lost")
def _lose_both(world: EngineWorld, leader: InstanceId) -> None:
    _lose_member(world, leader)
    world.pass_time(TAKING_S)
    world.take_over()


def measure(seed: int, name: str, ready: Ready) -> Repair:
    """Bring about a fault in a settled world and measure its repair."""
    world = _world(seed, ready)
    before = world.serving(LARGE)
    leader = world.members(LARGE)[0]
    group = world.engines[leader].members
    begun_s = world.now_s
    FAULTS[name](world, leader)
    world.run_until(lambda: not _shown(world, group), BOUND_S)
    noticed_s = world.now_s - begun_s
    world.run_until(lambda: world.serving(LARGE) >= before, BOUND_S)
    return Repair(noticed_s, world.now_s - begun_s)


def _world(seed: int, ready: Ready) -> EngineWorld:
    world = EngineWorld(domains=2, engines=2 * LARGE.size, seed=seed)
    world.run_until(lambda: world.serving(LARGE) >= 2, BOUND_S)
    world.run(SETTLE_S)
    if ready is Ready.COLD:
        for engine in world.engines.values():
            engine.staged = SMALL.name if engine.model == SMALL.name else LARGE.name
        world.run(2.0)
    return world


def _shown(world: EngineWorld, group: tuple[InstanceId, ...]) -> bool:
    return any(view.leader == group[0] for view in world.coordinator.views()) and all(
        world.engines[each].members == group for each in group
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=24, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def main(seed: int, runs: int, jobs: int) -> None:
    """Print the median and the longest of the times."""
    seeds = range(seed, seed + runs)
    with ProcessPoolExecutor(jobs) as pool:
        for ready in Ready:
            for name in FAULTS:
                repairs = list(pool.map(measure, seeds, [name] * runs, [ready] * runs))
                noticed = sorted(each.noticed_s for each in repairs)
                restored = sorted(each.restored_s for each in repairs)
                print(
                    f"ready={ready.name.lower()} fault={name}"
                    f" noticed_median_s={statistics.median(noticed):.2f}"
                    f" restored_median_s={statistics.median(restored):.2f}"
                    f" restored_most_s={restored[-1]:.2f}"
                )
    print(f"seed={seed} runs={runs}")


__all__ = ["FAULTS", "Ready", "Repair", "measure"]

if __name__ == "__main__":
    main()
