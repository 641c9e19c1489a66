# SPDX-License-Identifier: Apache-2.0
import asyncio
import random

import testtools

from ochreway_core.ids import HallId, Version
from ochreway_direct.configuration import Configuration
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.serving import Serving
from ochreway_direct.versions.firstconfiguration import wait_for_first_configuration
from ochreway_direct.versions.freshness import Freshness


class FirstConfigurationTests(testtools.TestCase):
    def serving(self) -> Serving:
        return Serving(Fleet(HallId("h"), random.Random(1)), Freshness(60.0))

    def test_a_starting_process_waits_until_a_configuration_is_in_force(self) -> None:
        async def work() -> bool:
            serving = self.serving()
            waiting = asyncio.ensure_future(wait_for_first_configuration(serving, 20.0))
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            serving.apply(Configuration(Version(1)))
            return await waiting

        self.assertTrue(asyncio.run(work()))

    def test_it_continues_without_a_configuration_after_the_timeout(self) -> None:
        self.assertFalse(asyncio.run(wait_for_first_configuration(self.serving(), 0.01)))
