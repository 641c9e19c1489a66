# SPDX-License-Identifier: Apache-2.0
"""Each reading reports the drained halls, whether or not its configuration is applied."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId, NodeId, Version
from ochreway_core.peer import Peer
from ochreway_direct.configuration import Configuration
from ochreway_direct.entry import DirectEntry
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.messages import ConfigurationUpdate
from ochreway_direct.platformhealth import PlatformHealth
from ochreway_direct.ports import ConfigurationReading, ConfigurationSource
from ochreway_direct.serving import Serving
from ochreway_direct.timing import DirectTiming
from ochreway_direct.versions.configurationfollower import ConfigurationFollower
from ochreway_direct.versions.freshness import Freshness
from ochreway_platform.errors import ConfigurationUnavailable, ConfigurationUnreadable
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

HALL = HallId("h")
DRAINED = DrainedHalls(6, (HALL,))

Step = ConfigurationReading | Exception


class ScriptedSource(ConfigurationSource):
    """Return or raise the scripted readings and errors in order."""

    def __init__(self, *steps: Step) -> None:
        self._steps = list(steps)

    async def poll(self, wait_s: float) -> ConfigurationReading:
        step = self._steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


class FollowerTests(testtools.TestCase):
    def reported_halls(self, *steps: Step) -> list[DrainedHalls]:
        """Return the reported halls in order; ``versions`` gets the version in force at each."""
        reports: list[DrainedHalls] = []
        self.versions: list[int] = []

        async def run() -> None:
            serving = Serving(Fleet(HALL, random.Random(1)), Freshness(4.5))

            def on_drained_halls(halls: DrainedHalls, polled_s: float) -> None:
                self.assertLessEqual(polled_s, asyncio.get_running_loop().time())
                reports.append(halls)
                self.versions.append(serving.version)

            follower = ConfigurationFollower(
                *(ScriptedSource(*steps), serving, PlatformHealth(), DirectTiming()),
                Backoff(0.1, 1.0, random.Random(1)),
                lambda: 1.0,
                lambda _: None,
                on_drained_halls,
                RecordedLog(),
                Metrics(None, "entry"),
            )
            for _ in steps:
                await follower._poll(1.0)

        asyncio.run(run())
        return reports

    def test_halls_are_learned_before_the_configuration_is_in_force(self) -> None:
        reading = ConfigurationReading(Configuration(Version(3)), 1.0, drained=DRAINED)
        self.assertEqual([DRAINED], self.reported_halls(reading))
        self.assertEqual([0], self.versions)

    def test_a_reading_without_a_new_configuration_reports_halls_too(self) -> None:
        known = Configuration(Version(3))
        first = ConfigurationReading(known, 1.0, drained=DrainedHalls(5))
        again = ConfigurationReading(known, 2.0, drained=DRAINED)
        none = ConfigurationReading(None, 3.0, drained=DrainedHalls(7))
        expected = [DrainedHalls(5), DRAINED, DrainedHalls(7)]
        self.assertEqual(expected, self.reported_halls(first, again, none))

    def test_a_configuration_that_cannot_be_read_hides_no_drain(self) -> None:
        self.assertEqual([DRAINED], self.reported_halls(ConfigurationUnreadable("broken", DRAINED)))

    def test_an_outage_reports_no_halls(self) -> None:
        self.assertEqual([], self.reported_halls(ConfigurationUnavailable("away")))


class ForwardedVersionTests(testtools.TestCase):
    def test_a_version_of_another_entry_waits_until_it_is_known_which_halls_are_drained(
        self,
    ) -> None:
        applied: list[Configuration] = []
        keeper = SimpleNamespace(known=False)
        entry: Any = SimpleNamespace(
            _drains=keeper,
            _configurations=SimpleNamespace(apply=applied.append),
            metrics=Metrics(None, "entry"),
            log=EventLog("entry", "e", "error"),
        )
        sender = Peer(NodeId("e2"), "e2:1")
        update = ConfigurationUpdate(Configuration(Version(3)))
        DirectEntry._on_configuration_update(entry, sender, update)
        self.assertEqual([], applied)
        self.assertEqual(1, entry.metrics.counters["configuration.without_halls"])
        keeper.known = True
        DirectEntry._on_configuration_update(entry, sender, update)
        self.assertEqual([update.configuration], applied)
