# SPDX-License-Identifier: Apache-2.0
"""How well entries choose groups by counts that are some heartbeats old."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush

import click

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.relay.attempt import Attempt
from ochreway_standins.engineworld import LARGE, SERVICE, SPEC
from ochreway_standins.spreadworld import SpreadEntry, SpreadWorld, VirtualLoop, virtually

HALLS = 5
STEP_S = 0.01
SETTLED_S = 10.0
ANSWER_TOKENS = 95
PROMPT_TOKENS = (700, 700, 700, 700, 1460, 2000)
OBJECTIVE_S = 0.4
QUEUED = 3


@dataclass(slots=True)
class FakeGroup:
    """Read prompts one after the other, and write the more slowly the more answers there are."""

    view: GroupView
    read_until_s: float = 0.0
    running: int = 0

    def take(self, tokens: int, now_s: float) -> tuple[float, float]:
        """Return when an answer begins and when it ends."""
        begin_s = max(self.read_until_s, now_s) + tokens / SPEC.read_tokens_per_s
        self.read_until_s = begin_s
        self.running += 1
        return begin_s, begin_s + ANSWER_TOKENS * SPEC.token_s(min(self.running, SPEC.slots))


@dataclass(slots=True)
class Outcome:
    """Count what became of requests."""

    asked: int = 0
    late: int = 0
    refused: int = 0
    first_s: list[float] = field(default_factory=list)

    def line(self) -> str:
        """Return the outcome as key=value pairs."""
        late = self.late / max(1, self.asked)
        p99_s = sorted(self.first_s)[int(0.99 * len(self.first_s))]
        return f"late={late:.4f} refused={self.refused / self.asked:.4f} first_p99_s={p99_s:.3f}"


class ChoiceWorld:
    """Let callers' requests come in at random and run at fake groups."""

    def __init__(self, world: SpreadWorld, groups: int, per_s: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = world
        self.per_s = per_s
        self.outcome = Outcome()
        self._due: list[tuple[float, int, SpreadEntry, Attempt, bool]] = []
        self._number = 0
        self.groups = {each.view.group: each for each in _groups(groups)}
        for entry in world.entries.values():
            entry.fleet.set_groups(each.view for each in self.groups.values())

    def run(self, for_s: float) -> None:
        """Let requests come for a while."""
        entries = list(self.world.entries.values())
        for _ in range(round(for_s / self.world.step_s)):
            self.world.run(self.world.step_s)
            self.end_due()
            arriving = self.random.random() < (self.per_s * self.world.step_s) % 1
            for _ in range(int(self.per_s * self.world.step_s) + arriving):
                self._ask(self.random.choice(entries))

    def _ask(self, entry: SpreadEntry) -> None:
        tokens = self.random.choice(PROMPT_TOKENS)
        self.outcome.asked += 1
        view = entry.fleet.pick_group(SERVICE, LARGE.name, (), SPEC, QUEUED, tokens)
        if view is None:
            self.outcome.refused += 1
            return
        attempt = Attempt(view.leader, view.address, view.hall, view.group, prompt_tokens=tokens)
        self.send(entry, attempt, self.world.now_s)

    def send(self, entry: SpreadEntry, attempt: Attempt, asked_s: float) -> None:
        """Run an attempt at its group for a request that came at a time."""
        group = self.groups[GroupId(attempt.candidate)]
        begin_s, end_s = group.take(attempt.prompt_tokens, self.world.now_s)
        self.outcome.first_s.append(begin_s - asked_s)
        self.outcome.late += begin_s - asked_s > OBJECTIVE_S
        entry.fleet.begin(attempt)
        self._number += 1
        heappush(self._due, (begin_s, self._number, entry, attempt, False))
        self._number += 1
        heappush(self._due, (end_s, self._number, entry, attempt, True))

    def end_due(self) -> None:
        """Note what has begun to be answered, or has ended, by now."""
        now_s = self.world.now_s
        while self._due and self._due[0][0] <= now_s:
            _, _, entry, attempt, ends = heappop(self._due)
            if ends:
                entry.fleet.end(attempt, False)
                self.groups[GroupId(attempt.candidate)].running -= 1
            else:
                entry.fleet.on_answer_part(attempt, now_s)


def _groups(number: int) -> Iterable[FakeGroup]:
    for n in range(number):
        group = GroupId(f"group-{n}")
        hall = HallId(f"hall-{n % HALLS}")
        yield FakeGroup(
            GroupView(*(group, Epoch(1), SERVICE, LARGE.name, InstanceId(f"i-{n}"), f"x:{n}", hall))
        )


def measure(
    entries: int, groups: int, per_s: float, seconds: float, sampled: int, mesh: int, seed: int
) -> Outcome:
    """Return what becomes of requests under one way to choose."""
    found = Outcome()

    def work(loop: VirtualLoop) -> None:
        nonlocal found
        world = SpreadWorld(loop, entries, HALLS, mesh, STEP_S)
        world.run(SETTLED_S)
        for entry in world.entries.values():
            entry.fleet._sample_size = sampled or None
        choice = ChoiceWorld(world, groups, per_s, seed)
        choice.run(seconds)
        found = choice.outcome

    virtually(work)
    return found


@click.command()
@click.option("--entries", default="12,36")
@click.option("--groups", default=38)
@click.option("--per-s", default=7.7, help="Requests a second for each group.")
@click.option("--seconds", default=20.0)
@click.option("--sampled", default="0,2,3,5", help="Groups drawn for a choice; 0 for all.")
@click.option("--mesh", default="24,1000", help="Up to how many entries all tell all.")
@click.option("--seed", default=1)
def main(
    entries: str, groups: int, per_s: float, seconds: float, sampled: str, mesh: str, seed: int
) -> None:
    """Print a line for each way to choose."""
    for number in map(int, entries.split(",")):
        for limit in map(int, mesh.split(",")):
            for draw in map(int, sampled.split(",")):
                rate = per_s * groups
                found = measure(number, groups, rate, seconds, draw, limit, seed)
                way = f"entries={number} meshed={number <= limit} sampled={draw}"
                click.echo(f"{way} {found.line()}")


if __name__ == "__main__":
    main()
