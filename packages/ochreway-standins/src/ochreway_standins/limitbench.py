# SPDX-License-Identifier: Apache-2.0
"""What the limit on cold targets costs callers: requests that wait or are refused for it."""

from collections import deque
from dataclasses import dataclass

import click

from ochreway_core.ids import Version
from ochreway_direct.configuration import ColdStart, Configuration, Service
from ochreway_direct.entries.cells import MAX_MESH_ENTRIES
from ochreway_direct.leases.lease import LeaseState
from ochreway_direct.relay.attempt import Attempt
from ochreway_standins.choicebench import (
    HALLS,
    OBJECTIVE_S,
    PROMPT_TOKENS,
    QUEUED,
    SETTLED_S,
    STEP_S,
    ChoiceWorld,
    Outcome,
)
from ochreway_standins.engineworld import LARGE, SERVICE, SPEC
from ochreway_standins.spreadworld import SpreadEntry, SpreadWorld, VirtualLoop, virtually

COLD = ColdStart(32.0, 3.0)
PATIENCE_S = 0.1 * OBJECTIVE_S
UNEVEN = 4.0
"""By how much more the busiest entry is asked for than the idlest."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """Hold a request that has found no place yet."""

    entry: SpreadEntry
    tokens: int
    since_s: float


class LimitWorld(ChoiceWorld):
    """Let requests come unevenly, wait a tenth of their objective for a place, and count those."""

    def __init__(self, world: SpreadWorld, groups: int, per_s: float, seed: int) -> None:
        super().__init__(world, groups, per_s, seed)
        self.delayed = 0
        self.withheld = 0
        self._waiting: deque[Waiting] = deque()
        entries = list(world.entries.values())
        self._weights = [1.0 + (UNEVEN - 1.0) * n / len(entries) for n in range(len(entries))]
        self._entries = entries

    def run(self, for_s: float) -> None:
        """Let requests come for a while."""
        for _ in range(round(for_s / self.world.step_s)):
            self.world.run(self.world.step_s)
            self.end_due()
            waiting, self._waiting = self._waiting, deque()
            for each in waiting:
                self._try(each)
            arriving = self.random.random() < (self.per_s * self.world.step_s) % 1
            for _ in range(int(self.per_s * self.world.step_s) + arriving):
                self._arrive()

    def _arrive(self) -> None:
        entry = self.random.choices(self._entries, self._weights)[0]
        tokens = self.random.choice(PROMPT_TOKENS)
        now_s = self.world.now_s
        entry.meter.record_work(LARGE.name, SPEC.turn_s, now_s)
        self.outcome.asked += 1
        if not self._try(Waiting(entry, tokens, now_s)):
            self.delayed += 1

    def _try(self, waiting: Waiting) -> bool:
        """Send a request if there is a place; return whether there was."""
        now_s, fleet = self.world.now_s, waiting.entry.fleet
        view = fleet.pick_group(
            *(SERVICE, LARGE.name, (), SPEC, QUEUED, waiting.tokens), now_s=now_s
        )
        if view is not None:
            attempt = Attempt(
                *(view.leader, view.address, view.hall, view.group),
                prompt_tokens=waiting.tokens,
                begun_s=now_s,
                written_s=now_s,
            )
            self.send(waiting.entry, attempt, waiting.since_s)
            return True
        if now_s - waiting.since_s < PATIENCE_S:
            self._waiting.append(waiting)
            return False
        self.outcome.refused += 1
        self.withheld += fleet.send_wait_s(SERVICE, LARGE.name, None, now_s) > 0.0
        return False


def measure(
    limited: bool, lends: bool, entries: int, groups: int, per_s: float, seconds: float, seed: int
) -> LimitWorld:
    """Return what becomes of requests with or without the limit, and with or without loans."""
    found: list[LimitWorld] = []

    def work(loop: VirtualLoop) -> None:
        world = SpreadWorld(loop, entries, HALLS, MAX_MESH_ENTRIES, STEP_S)
        service = Service(SERVICE, 100, SPEC, COLD if limited else None)
        for entry in world.entries.values():
            entry.serving.apply(Configuration(Version(2), services=(service,)))
        holder = next(iter(world.entries.values()))
        holder.lease.state = LeaseState.HELD
        holder.lease.acquired_revision = 1
        holder.lease.renewed_s = float("inf") if lends else float("-inf")
        world.run(SETTLED_S)
        found.append(LimitWorld(world, groups, per_s, seed))
        found[0].run(seconds)

    virtually(work)
    return found[0]


def line(world: LimitWorld) -> str:
    """Return what became of requests as key=value pairs."""
    outcome: Outcome = world.outcome
    delayed = world.delayed / outcome.asked
    withheld = world.withheld / outcome.asked
    return f"{outcome.line()} delayed={delayed:.4f} refused_by_limit={withheld:.4f}"


@click.command()
@click.option("--entries", default=13)
@click.option("--groups", default="4,8,10")
@click.option("--per-s", default="83,166", help="Requests a second.")
@click.option("--seconds", default=30.0)
@click.option("--seed", default=1)
def main(entries: int, groups: str, per_s: str, seconds: float, seed: int) -> None:
    """Print a line for each load, without the limit, with it, and while nothing is lent."""
    for number in map(int, groups.split(",")):
        for rate in map(float, per_s.split(",")):
            for way, limited, lends in (
                ("none", False, False),
                ("full", True, True),
                ("no_loans", True, False),
            ):
                found = measure(limited, lends, entries, number, rate, seconds, seed)
                click.echo(f"groups={number} per_s={rate:g} limit={way} {line(found)}")


if __name__ == "__main__":
    main()
