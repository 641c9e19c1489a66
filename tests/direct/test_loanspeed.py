# SPDX-License-Identifier: Apache-2.0
"""How soon an allowance can be used again after the holder of the lease changed."""

import testtools

from ochreway_core.ids import InstanceId, NodeId
from ochreway_direct.configuration import ColdStart, Service
from tests.direct.sendworld import EXCESS, SERVICE, SLACK, SendWorld

TARGETS = [InstanceId(f"i{number}") for number in range(8)]
LARGE = Service(SERVICE, 100, cold_start=ColdStart(26.0, 3.0))
ALLOWANCE = int(26.0 * EXCESS + SLACK)
REQUIRED_SHARE = 0.9
"""Of what is usable in a settled fleet."""
REQUIRED_WITHIN_S = 1.0
START_S = 1.1
"""When a process may first send to a target that may be cold."""
TAKE_OVER_S = 0.5
"""When the lease is taken, after the loss of its holder or the start of all entries."""


class Site:
    """A settled fleet, and the share of the allowance that it can use."""

    def __init__(self, entries: int, previous_build: bool = False) -> None:
        self.world = SendWorld(entries, service=LARGE, previous_build=previous_build)
        self.world.run(11.0)
        self.take(0)
        self.world.run(12.0)
        self.settled = self.usable_share()

    def take(self, number: int) -> None:
        entry = self.world.entries[NodeId(f"e{number}")]
        entry.take_lease(self.world.now_s + entry.clock_s)

    def usable_share(self) -> float:
        usable = sum(self.world.usable(target) for target in TARGETS)
        return usable / len(TARGETS) / ALLOWANCE

    def kill_holder(self) -> None:
        self.world.kill(NodeId("e0"))
        self.world.run(TAKE_OVER_S)
        self.take(1)

    def hand_over(self) -> None:
        holder = self.world.entries[NodeId("e0")]
        holder.release_lease(self.world.now_s + holder.clock_s)
        self.take(1)

    def kill_all(self) -> None:
        for name in list(self.world.entries):
            self.world.start_entry(name, self.world.previous_build)
        self.world.run(TAKE_OVER_S)
        self.take(1)
        self.world.run(START_S - TAKE_OVER_S)

    def shares_after(self, *times_s: float) -> list[float]:
        """Return the usable shares at some times after a change."""
        shares, passed_s = [], 0.0
        for time_s in times_s:
            self.world.run(time_s - passed_s)
            passed_s = time_s
            shares.append(round(self.usable_share(), 3))
        return shares


class LoanSpeedTests(testtools.TestCase):
    def assert_usable(self, entries: int, change: str) -> None:
        site = Site(entries)
        getattr(site, change)()
        (share,) = site.shares_after(REQUIRED_WITHIN_S)
        self.assertGreaterEqual(share, REQUIRED_SHARE * site.settled)

    def test_five_entries_after_a_planned_hand_over(self) -> None:
        self.assert_usable(5, "hand_over")

    def test_fifteen_entries_after_a_planned_hand_over(self) -> None:
        self.assert_usable(15, "hand_over")

    def test_fifteen_entries_after_the_loss_of_the_holder(self) -> None:
        """With five, the static share of the lost entry is more than a tenth."""
        self.assert_usable(15, "kill_holder")

    def test_five_entries_after_the_loss_of_all(self) -> None:
        self.assert_usable(5, "kill_all")

    def test_fifteen_entries_after_the_loss_of_all(self) -> None:
        self.assert_usable(15, "kill_all")

    def test_fifteen_entries_of_the_previous_build_after_the_loss_of_all(self) -> None:
        """The baseline: nothing is lent for the wait of a new holder."""
        site = Site(15, previous_build=True)
        site.kill_all()
        (share,) = site.shares_after(REQUIRED_WITHIN_S)
        self.assertLess(share, REQUIRED_SHARE * site.settled)
