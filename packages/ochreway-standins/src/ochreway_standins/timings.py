# SPDX-License-Identifier: Apache-2.0
"""How long a configuration takes to be in force, and a leaving target to be quiet.

Virtual time, the daemons' own nodes: ``make timings``.
"""

import statistics
from functools import partial

import click

from ochreway_core.codec import decode
from ochreway_core.effects import HandOver
from ochreway_core.rows import RollRow, approval_key, head_key
from ochreway_core.signoff import Approval
from ochreway_core.timing import Timing
from ochreway_core.view import make_snapshot
from ochreway_nodes.entry import EntryNode
from ochreway_standins.soak.callers import Callers
from ochreway_standins.soak.faults import Faults
from ochreway_standins.soak.operator import Operator, bundle_body
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.simplatform import Mode
from ochreway_standins.soak.truth import Truth
from ochreway_standins.soak.world import SCOPE, Shape, World

ROLL_AT_S = 20.0
GIVE_UP_S = 60.0
STEP_S = 0.01


def _world(seed: int) -> World:
    shape = Shape(entries=6, timing=Timing(key_memory_s=20.0))
    world = World(seed, shape)
    body = bundle_body(0, shape.engines, shape.services)
    roll = partial(Operator(world, "ann").roll, body, lambda version: None)
    world.clock.at(3.0, roll)
    world.clock.run_until(ROLL_AT_S)
    return world


def _push(world: World) -> None:
    rows = world.platform.table.rows
    roll = decode(RollRow, rows[head_key(SCOPE)].content)
    approval = decode(Approval, rows[approval_key(roll.bundle, "bo")].content)
    snapshot = make_snapshot(roll, world.platform.bodies[roll.bundle], (approval,))
    for process in world.entries()[:2]:
        node = process.node
        assert isinstance(node, EntryNode)
        world.post(process, partial(node.on_snapshot, snapshot))


def in_force_s(seed: int, push: bool, down: bool) -> float:
    """Return how long after the commit every process had the version in force."""
    world = _world(seed)
    committed = [0.0]

    def done(version: int | None) -> None:
        committed[0] = world.clock.now_s
        if down:
            world.platform.mode = Mode.DOWN
        if push:
            _push(world)

    body = bundle_body(0, world.shape.engines, world.shape.services, "# second\n")
    Operator(world, "ann").roll(body, done)
    while world.clock.now_s < ROLL_AT_S + GIVE_UP_S:
        world.clock.run_until(world.clock.now_s + STEP_S)
        if committed[0] and all(each.node.version == 2 for each in world.processes.values()):
            return world.clock.now_s - committed[0]
    return GIVE_UP_S


def quiet_after_s(seed: int, by_list: bool) -> float:
    """Return how long after the leave began the last work was handed over."""
    world = _world(seed)
    callers = Callers(world)
    faults = Faults(world, callers, Truth(world, callers))
    last = [0.0]
    callers.send_until(ROLL_AT_S + 20.0, 0.02)
    node = faults.pick_leader()
    leaving = world.processes[node]

    def handed_over(process: Process, order: HandOver) -> None:
        if process is leaving:
            last[0] = world.clock.now_s

    world.on_hand_over = handed_over
    world.clock.run_until(ROLL_AT_S + 3.0)
    began_s = world.clock.now_s
    if by_list:
        faults.list_leaving(node)
    else:
        faults.stop_agent(node)
    world.clock.run_until(began_s + 8.0)
    return max(0.0, last[0] - began_s)


def _line(name: str, values: list[float]) -> None:
    print(f"timing={name} median_s={statistics.median(values):.2f} worst_s={max(values):.2f}")


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=12, show_default=True)
def main(seed: int, runs: int) -> None:
    """Measure both, with and without the command's push and the table going down."""
    seeds = range(seed, seed + runs)
    for name, push, down in (
        ("in_force_by_polling", False, False),
        ("in_force_with_push", True, False),
        ("in_force_with_push_table_down_at_once", True, True),
    ):
        _line(name, [in_force_s(each, push, down) for each in seeds])
    _line("quiet_after_sigterm", [quiet_after_s(each, False) for each in seeds])
    _line("quiet_after_list_with_1_s_lag", [quiet_after_s(each, True) for each in seeds])
    print(f"seed={seed} runs={runs} entries=6 agents=10")


if __name__ == "__main__":
    main()
