# SPDX-License-Identifier: Apache-2.0
"""Group downtime and stranded instances by fault, repair policy and weights.

The same seeds for each policy; times are virtual: ``make repairs``.
"""

import multiprocessing
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import click

from ochreway_core.reason import Reason
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.controller.repair import RepairTuning
from ochreway_standins.soak.operator import Operator, bundle_body
from ochreway_standins.soak.simplatform import Mode
from ochreway_standins.soak.world import DOMAIN, Shape, World

LOAD_S = 30.0
REPLACE_S = 180.0
FAULT_AT_S = 200.0
END_S = 650.0
SAMPLE_S = 0.25
REPLICAS = ("care-0", "care-1")
WEIGHTS = {"kestrel": (10.0, 1.0), "hanbit": (1.0, 10.0)}
POLICIES = {
    "baseline": ("wait_then_spare", False),
    "expected_cost_cold": ("expected_cost", False),
    "expected_cost_warm": ("expected_cost", True),
    "expected_cost_standby": ("expected_cost", True),
}

Fault = Callable[["Site"], None]
FAULTS: dict[str, Fault] = {}


@dataclass(slots=True)
class Site:
    """Watch one world: how long groups are down, how long healthy instances stand idle."""

    world: World
    down_s: float = 0.0
    stranded_s: float = 0.0

    def members(self, group: str) -> list[str]:
        """Return a group's members as its leader knows them, the leader first."""
        for process in self.world.agents():
            node = process.node
            assert isinstance(node, AgentNode)
            row = node.membership.row
            if node.membership.leads and row is not None and row.group == group:
                return [peer.node for peer in row.members]
        return []

    def _serving(self) -> dict[str, list[str]]:
        found = {}
        for process in self.world.agents():
            node = process.node
            assert isinstance(node, AgentNode)
            row = node.membership.row
            if not process.running or row is None or not node.membership.leads:
                continue
            if (
                node.membership.closed_because(process.local_s(self.world.clock.now_s))
                is Reason.NONE
            ):
                found[str(row.group)] = [str(peer.node) for peer in row.members]
        return found

    def sample(self) -> None:
        """Add up, and look again a little later."""
        serving = self._serving()
        self.down_s += SAMPLE_S * sum(group not in serving for group in REPLICAS)
        working = {node for members in serving.values() for node in members}
        healthy = [
            each
            for each in self.world.agents()
            if each.running and each.peer.node.startswith("engine")
        ]
        self.stranded_s += SAMPLE_S * sum(each.peer.node not in working for each in healthy)
        self.world.clock.after(SAMPLE_S, self.sample)

    def die(self, node: str) -> None:
        """Lose an instance, replaced after a while."""
        name = next(each for each in self.world.processes if each == node)
        self.world.kill(name, whole_instance=True)
        self.world.clock.after(REPLACE_S, partial(self.world.boot, name))

    def pause(self, node: str, lasting_s: float) -> None:
        """Freeze an instance for a while."""
        name = next(each for each in self.world.processes if each == node)
        self.world.pause(name)
        self.world.clock.after(lasting_s, partial(self.world.wake, name))


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def register(kind: Fault) -> Fault:
        FAULTS[name] = kind
        return kind

    return register


@fault("pause_of_member")
def _pause(site: Site) -> None:
    site.pause(site.members("care-0")[1], site.world.random.uniform(3.0, 15.0))


@fault("death_of_member")
def _death(site: Site) -> None:
    site.die(site.members("care-0")[1])


@fault("death_of_leader")
def _leader(site: Site) -> None:
    site.die(site.members("care-0")[0])


@fault("one_of_each_group")
def _each(site: Site) -> None:
    for group in REPLICAS:
        site.die(site.members(group)[2])


@fault("rack_of_three")
def _rack(site: Site) -> None:
    for node in (*site.members("care-0")[:2], site.members("care-1")[0]):
        site.die(node)


@fault("death_while_store_is_down")
def _store(site: Site) -> None:
    site.world.platform.mode = Mode.DOWN
    site.world.clock.after(5.0, partial(site.die, site.members("care-0")[1]))

    def up() -> None:
        site.world.platform.mode = Mode.UP

    site.world.clock.after(60.0, up)


Given = tuple[str, str, str, int]


def measure(given: Given) -> tuple[float, float]:
    """Run one fault under one policy and return downtime and stranded instance-seconds."""
    fault_name, policy, weights, seed = given
    repair, warm = POLICIES[policy]
    shape = Shape(
        load_s=LOAD_S,
        repair_policy=repair,
        repair=RepairTuning(load_s=LOAD_S, rewire_s=LOAD_S / 10, replace_s=REPLACE_S),
    )
    world = World(seed, shape)
    site = Site(world)
    downtime, stranded = WEIGHTS[weights]
    section = f"[weights]\ndowntime = {downtime}\nstranded = {stranded}\n"
    standbys = 1 if policy.endswith("standby") else 0
    body = bundle_body(0, shape.engines, shape.services, section, warm, standbys)
    roll = partial(Operator(world, "ann").roll, body, lambda version: None)
    world.clock.at(3.0, roll)
    world.clock.at(FAULT_AT_S, lambda: FAULTS[fault_name](site))
    world.clock.at(FAULT_AT_S, site.sample)
    world.clock.run_until(END_S)
    return site.down_s, site.stranded_s


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=8, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def main(seed: int, runs: int, jobs: int) -> None:
    """Measure each fault under each policy and both users' weights."""
    seeds = range(seed, seed + runs)
    keys = [(f, p, w) for f in FAULTS for w in WEIGHTS for p in POLICIES]
    given: list[Given] = [(*key, each) for key in keys for each in seeds]
    with multiprocessing.get_context("fork").Pool(jobs) as pool:
        found = pool.map(measure, given, chunksize=2)
    for place, (name, policy, weights) in enumerate(keys):
        rows = found[place * runs : (place + 1) * runs]
        down = [row[0] for row in rows]
        stranded = [row[1] for row in rows]
        print(
            f"repair fault={name} weights={weights} policy={policy}"
            f" down_median_s={statistics.median(down):.1f} down_worst_s={max(down):.1f}"
            f" stranded_median_instance_s={statistics.median(stranded):.0f}"
            f" stranded_worst_instance_s={max(stranded):.0f}"
        )
    print(f"seed={seed} runs={runs} domain={DOMAIN}")


if __name__ == "__main__":
    main()
