# SPDX-License-Identifier: Apache-2.0
import asyncio

from ochreway_core.targetnotice import TargetNotice
from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import RelayCase, Running, whole

JUMP_S = 0.03
"""How much time passes between any two looks at the clock, as on an instance that is very busy."""
ASKS = 60


class PlaceWaitTests(RelayCase):
    kind = RouteKind.SAFE

    def test_a_place_that_frees_during_the_last_look_is_not_called_full(self) -> None:
        """Guards against callers told of a full queue where a target had asked to be left alone."""

        async def answer(headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
            writer.write(whole(headers, "ok"))

        async def work(running: Running) -> None:
            loop = asyncio.get_running_loop()
            steady, passed_s, each_s = loop.time, 0.0, 0.0

            def jumping() -> float:
                nonlocal passed_s
                passed_s += each_s
                return steady() + passed_s

            loop.time = jumping  # type: ignore[method-assign]
            ended = set()
            for number in range(ASKS):
                asked = TargetNotice(backoff_s=0.02 * number)
                for target in running.targets:
                    running.backoffs.record_notice(target.name, asked, loop.time())
                each_s = JUMP_S
                found = await running.ask()
                each_s = 0.0
                ended.add((found.status, found.body.decode().strip()))
            self.assertLessEqual(ended, {(200, "ok"), (503, "backoff")})
            self.assertIn((503, "backoff"), ended)

        self.relayed(work, answer)
