# SPDX-License-Identifier: Apache-2.0
import asyncio

from ochreway_core.targetnotice import TargetNotice
from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import RelayCase, RunningRelay, complete_response

CLOCK_STEP_S = 0.03
"""Time that passes between two readings of the clock, as on a very busy instance."""
REQUESTS = 60


class CandidateWaitTests(RelayCase):
    kind = RouteKind.SAFE

    def test_a_target_that_frees_during_the_last_check_is_not_reported_as_full(self) -> None:
        """Guards against refusals that name a full queue while targets back off.

        It happened when the clock advanced while the relay checked its targets.
        """

        async def answer(headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
            writer.write(complete_response(headers, "ok"))

        async def work(running: RunningRelay) -> None:
            loop = asyncio.get_running_loop()
            real_time, passed_s, step_s = loop.time, 0.0, 0.0

            def jumping() -> float:
                nonlocal passed_s
                passed_s += step_s
                return real_time() + passed_s

            loop.time = jumping  # type: ignore[method-assign]
            endings = set()
            for number in range(REQUESTS):
                notice = TargetNotice(backoff_s=0.02 * number)
                for target in running.targets:
                    running.backoffs.record_notice(target.name, notice, loop.time())
                step_s = CLOCK_STEP_S
                reply = await running.send_request()
                step_s = 0.0
                endings.add((reply.status, reply.body.decode().strip()))
            self.assertLessEqual(endings, {(200, "ok"), (503, "backoff")})
            self.assertIn((503, "backoff"), endings)

        self.run_with_relay(work, answer)
