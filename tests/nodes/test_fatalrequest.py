# SPDX-License-Identifier: Apache-2.0
"""A request that ends the process of any target that runs it, with native entries and agents.

Guards against such a request reaching many targets: a repeatable request was retried after its
target had ended, and no entry knew of the attempts made through other entries.
"""

import testtools

from ochreway_standins.soak.run import Run
from ochreway_standins.soak.simtarget import FATAL

MAX_SENDS = 3 + 2
"""Three crashes, plus the attempts other entries had in flight when the third became known."""


class FatalRequestTests(testtools.TestCase):
    def test_a_fatal_request_reaches_few_targets_of_either_kind(self) -> None:
        kinds = set()
        for seed in range(1, 5):
            run = Run(seed, ["fatal_request"], 1)
            self.assertEqual((), run.go().violations)
            bodies = [work.body for work in run.world.executions if work.body.startswith(FATAL)]
            for body in set(bodies):
                self.assertLessEqual(bodies.count(body), MAX_SENDS)
            kinds |= {
                tracked.request.kind
                for tracked in run.callers.sent_requests.values()
                if tracked.request.body.startswith(FATAL)
            }
        self.assertEqual(2, len(kinds))

    def test_callers_of_a_fatal_request_learn_that_it_did_not_run(self) -> None:
        run = Run(1, ["fatal_request"], 1)
        run.go()
        reasons = [
            tracked.finish.reason.value
            for tracked in run.callers.sent_requests.values()
            if tracked.request.body.startswith(FATAL) and tracked.finish is not None
        ]
        self.assertGreater(reasons.count("ends_targets"), len(reasons) // 2)

    def test_invariants_hold_among_other_faults(self) -> None:
        for seed in range(20, 26):
            kinds = ["fatal_request", "kill_entry", "pause_entry", "target_crash", "cut"]
            self.assertEqual((), Run(seed, kinds, 4).go().violations)
