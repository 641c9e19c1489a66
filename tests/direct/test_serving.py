# SPDX-License-Identifier: Apache-2.0
import asyncio
import random
from unittest import mock

import testtools

from ochreway_core.ids import HallId
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.serving import MAX_PROOF_WAIT_S, Serving
from ochreway_direct.versions.freshness import Freshness
from ochreway_runtime.logs import EventLog
from ochreway_runtime.looplag import LoopLag

MAX_PROOF_AGE_S = 3.0
TICK_S = 0.05


class TrustedKeysTests(testtools.TestCase):
    def wait_for_keys(self, stalled_s: float, proof_in_s: float | None) -> tuple[bool, float]:
        """Return whether keys are accepted and after how long, starting with an expired proof."""

        async def work() -> tuple[bool, float]:
            loop = asyncio.get_running_loop()
            now_s = loop.time()
            lag = LoopLag(TICK_S, EventLog("entry", "e", "critical"))
            lag.tick(now_s - TICK_S - stalled_s)
            lag.tick(now_s)
            freshness = Freshness(MAX_PROOF_AGE_S)
            freshness.prove(now_s - MAX_PROOF_AGE_S - 0.1)
            serving = Serving(Fleet(HallId("h"), random.Random(1)), freshness, lag=lag)
            if proof_in_s is not None:
                loop.call_later(proof_in_s, lambda: freshness.prove(loop.time()))
            return await serving.wait_for_trusted_keys(), loop.time() - now_s

        return asyncio.run(work())

    def test_a_proof_delayed_by_an_own_stall_is_awaited(self) -> None:
        self.assertTrue(self.wait_for_keys(2.0, 0.05)[0])

    def test_the_wait_for_a_proof_is_bounded(self) -> None:
        trusted, took_s = self.wait_for_keys(2.0, None)
        self.assertFalse(trusted)
        self.assertGreaterEqual(took_s, MAX_PROOF_WAIT_S)

    def test_without_an_own_stall_callers_are_refused_at_once(self) -> None:
        with mock.patch.object(asyncio, "sleep", side_effect=AssertionError("it waited")):
            self.assertFalse(self.wait_for_keys(0.0, 0.05)[0])
