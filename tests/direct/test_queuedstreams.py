# SPDX-License-Identifier: Apache-2.0
"""The relay's tests of streams, with calls that are queued instead of polling.

They guard against a queue that changes how requests are sent, retried and refused.
"""

import asyncio

from ochreway_direct.configuration import RouteKind
from tests.direct import test_backoff, test_crashes, test_relay, test_resets
from tests.direct.relaycase import RelayCase, RunningRelay
from tests.direct.test_queuerelay import answer
from tests.direct.test_relay import good
from tests.direct.test_sendlimitrelay import WAIT_S, ScriptedLimit


class QueuedLastAttemptTests(test_relay.LastAttemptTests):
    queued = True


class QueuedLateResumptionTests(test_relay.LateResumptionTests):
    queued = True


class QueuedStreamTests(test_relay.StreamTests):
    queued = True


class QueuedCallerGoneTests(test_relay.CallerGoneTests):
    queued = True


class QueuedBackoffTests(test_backoff.GroupRequestTests):
    queued = True


class QueuedStreamResetTests(test_resets.StreamResetTests):
    queued = True


class QueuedFatalStreamTests(test_crashes.FatalStreamTests):
    queued = True


class QueuedLimitTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True
    queued = True

    def test_without_any_share_a_request_is_refused_with_the_time_of_its_place(self) -> None:
        """Guards against waiting for a window that ends too late, and too early a return."""

        async def work(running: RunningRelay) -> None:
            running.fleet._limit = ScriptedLimit()
            answer = await running.send_request()
            self.assertEqual((503, b"send_limit\n"), (answer.status, answer.body))
            self.assertGreaterEqual(float(answer.headers["Retry-After"]), WAIT_S)
            self.assertEqual([[], []], [each.seen for each in running.targets])

        self.run_with_relay(work, good, good)

    def test_a_share_that_becomes_free_in_time_is_used(self) -> None:
        """Guards against refusals of calls for which a window ends soon enough."""

        class Window(ScriptedLimit):
            def allows(self, *_: object) -> bool:
                return self.wait_s() <= 0.0

            def wait_s(self, *_: object) -> float:
                return max(0.0, until_s - asyncio.get_running_loop().time())

        until_s = 0.0

        async def work(running: RunningRelay) -> None:
            nonlocal until_s
            until_s = asyncio.get_running_loop().time() + 0.2
            running.fleet._limit = Window()
            self.assertEqual(200, (await running.send_request()).status)

        self.run_with_relay(work, answer)
