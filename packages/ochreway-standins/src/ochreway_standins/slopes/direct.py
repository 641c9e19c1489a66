# SPDX-License-Identifier: Apache-2.0
"""Print what a direct entry spends as a site grows: ``make slopes-direct``."""

import random
import time
from collections import Counter
from dataclasses import replace

import click

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.configuration import Configuration
from ochreway_direct.coordinator import Coordinator
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership
from ochreway_direct.fleets.fleet import SAMPLED_GROUPS, Fleet
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.relay.attempt import Attempt
from ochreway_standins.engineworld import CONFIGURATION, LARGE, SERVICE, SMALL, SPEC
from ochreway_standins.slopes.meter import cpu_us
from ochreway_standins.spreadworld import SpreadWorld, VirtualLoop, virtually

HALLS = 5
ENTRIES = 36
CHOICES = 2000
GROUP_SIZE = 8
DOMAIN_ENGINES = 37
SETTLED_S = 10.0
MEASURED_S = 3.0
TICK_S = 0.05


def line(name: str, **values: object) -> None:
    """Print one measurement."""
    pairs = "".join(f" {key}={value}" for key, value in values.items())
    click.echo(f"slope={name}{pairs}")


def choices(groups: int, entries: int) -> None:
    """Time the choice of a group by an entry among others that report their counts."""
    fleet = Fleet(HallId("h"), random.Random(1), sample_size=SAMPLED_GROUPS)
    views = [
        GroupView(
            *(GroupId(f"g{n}"), Epoch(1), SERVICE, LARGE.name, InstanceId(f"i{n}"), f"x:{n}"),
            HallId("h"),
        )
        for n in range(groups)
    ]
    fleet.set_groups(views)
    for entry in range(entries - 1):
        fleet.set_remote_work(f"entry/{entry}", {each.group: entry % 3 for each in views}, {})
    for each in views:
        fleet.begin(Attempt(each.leader, each.address, each.hall, each.group, 700))
    took = []
    for _ in range(CHOICES):
        begun_s = time.perf_counter()
        fleet.pick_group(SERVICE, LARGE.name, (), SPEC, 10_000, 700)
        took.append(time.perf_counter() - begun_s)
    took.sort()
    line(
        "choice",
        groups=groups,
        entries=entries,
        p50_us=round(1e6 * took[CHOICES // 2]),
        p99_us=round(1e6 * took[int(0.99 * CHOICES)]),
    )


def spread(entries: int) -> None:
    """Weigh the heartbeats of entries that each have requests at some groups."""

    def work(loop: VirtualLoop) -> None:
        world = SpreadWorld(loop, entries, HALLS)
        for number, entry in enumerate(world.entries.values()):
            for group in range(number, number + 10):
                entry.begin(f"model-1234567-{group % 40}")
        world.run(SETTLED_S)
        world.sent.clear()
        world.weigh = True
        begun_s = time.process_time()
        world.run(MEASURED_S)
        cpu_s = time.process_time() - begun_s
        line(
            "spread",
            entries=entries,
            heads=sum(each.heartbeats.head for each in world.entries.values()),
            sent_per_s_most=round(max(world.sent.values()) / MEASURED_S),
            sent_per_s_mean=round(sum(world.sent.values()) / entries / MEASURED_S, 1),
            bytes_per_s_most=round(max(world.sent_bytes.values()) / MEASURED_S),
            bytes_per_s_mean=round(sum(world.sent_bytes.values()) / entries / MEASURED_S),
            cpu_percent_mean=round(100.0 * cpu_s / entries / MEASURED_S, 2),
        )

    virtually(work)


def coordination(engines: int) -> None:
    """Time a coordinator's steps while all engines serve and nothing changes, and with changes."""
    coordinator = Coordinator(is_answering=lambda _: True)
    coordinator.configure(_sized(CONFIGURATION))
    coordinator.begin(Epoch(1), 0.0)
    listed = [_listed(number) for number in range(engines)]
    coordinator.on_listing(listed, 0.0)
    for each in listed:
        assert each.engine is not None
        coordinator.on_state(each.instance, each.engine, 0.0)
    _serve(coordinator, listed)
    coordinator.demand.update({SMALL.name: engines / GROUP_SIZE / 2.0}, 0.0)
    probes: Counter[str] = Counter()
    now_s = 1.0
    begun_s = time.process_time()
    for number in range(round(20.0 / TICK_S)):
        now_s += TICK_S
        if number % 2:
            changed = listed[number % len(listed)]
            assert changed.engine is not None
            state = replace(changed.engine, pace=1.0 + 0.1 * (number % 4 // 2))
            coordinator.on_state(changed.instance, state, now_s)
        coordinator.tick(now_s)
        for probe in coordinator.due_probes(now_s):
            probes[probe.cause.value] += 1
            coordinator.on_state(probe.record.instance, probe.record.state, now_s)
    cpu_s = time.process_time() - begun_s
    line(
        "coordination",
        engines=engines,
        cpu_percent=round(100.0 * cpu_s / 20.0, 1),
        probes_per_s=round(sum(probes.values()) / 20.0),
    )


def _sized(configuration: Configuration) -> Configuration:
    models = (replace(SMALL, size=GROUP_SIZE),)
    service = replace(configuration.services[0], engine=replace(SPEC, models=models))
    return replace(configuration, services=(service,))


def _listed(number: int) -> ListedTarget:
    domain = number // DOMAIN_ENGINES
    place = number % DOMAIN_ENGINES
    group = place // GROUP_SIZE
    rank = place % GROUP_SIZE
    phase = MemberPhase.OPEN if rank == 0 else MemberPhase.READY
    membership = Membership(GroupId(f"small-{domain}-{group}"), Epoch(1), rank, phase)
    whole = (group + 1) * GROUP_SIZE <= DOMAIN_ENGINES
    state = EngineState(
        DomainId(f"d{domain}"), SMALL.name, (SMALL.name,), membership if whole else None
    )
    return ListedTarget(InstanceId(f"i{number}"), SERVICE, f"x:{number}", HallId("h"), engine=state)


def _serve(coordinator: Coordinator, listed: list[ListedTarget]) -> None:
    members: dict[GroupId, list[ListedTarget]] = {}
    for each in listed:
        if each.engine is not None and each.engine.membership is not None:
            members.setdefault(each.engine.membership.group, []).append(each)
    for group, found in members.items():
        if len(found) == GROUP_SIZE and found[0].engine is not None:
            instances = tuple(each.instance for each in found)
            coordinator.groups[group] = GroupRecord(
                *(group, Epoch(1), SERVICE, found[0].engine.domain, SMALL.name, instances),
                phase=GroupPhase.SERVING,
                since_s=0.0,
                ready=set(instances),
            )


@click.command()
@click.option("--entries", default="15,36,100,300", help="Sizes of the spread.")
def main(entries: str) -> None:
    """Print every slope."""
    cpu_us(lambda: None, 1000)
    for groups in (12, 40, 150):
        choices(groups, ENTRIES)
    for engines in (120, 370, 1110):
        coordination(engines)
    for number in map(int, entries.split(",")):
        spread(number)


if __name__ == "__main__":
    main()
