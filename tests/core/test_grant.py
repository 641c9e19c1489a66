# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.grant import MemberGrant
from ochreway_core.ids import Epoch
from ochreway_core.reason import Reason

TTL_S = 1.5


class GrantTests(testtools.TestCase):
    def granted(self) -> MemberGrant:
        grant = MemberGrant(TTL_S, 0.0)
        self.assertTrue(grant.request(Epoch(1), 2.0).is_ok())
        return grant

    def test_grants_nothing_after_start(self) -> None:
        denied = MemberGrant(TTL_S, 0.0).request(Epoch(1), 1.0).unwrap_err()
        self.assertEqual(Reason.GROUP_INCOMPLETE, denied.reason)
        self.assertAlmostEqual(0.5, denied.wait_s)

    def test_higher_epoch_waits_for_the_former(self) -> None:
        grant = self.granted()
        self.assertTrue(grant.request(Epoch(2), 3.0).is_err())
        self.assertTrue(grant.request(Epoch(2), 3.5).is_ok())

    def test_lower_epoch_is_not_renewed_once_a_higher_is_known(self) -> None:
        grant = self.granted()
        grant.observe_epoch(Epoch(2))
        self.assertEqual(Reason.STALE_EPOCH, grant.request(Epoch(1), 2.1).unwrap_err().reason)

    def test_returned_grant_frees_at_once(self) -> None:
        grant = self.granted()
        grant.end_grant(Epoch(1))
        self.assertTrue(grant.request(Epoch(2), 2.1).is_ok())

    def test_return_of_another_epoch_changes_nothing(self) -> None:
        grant = self.granted()
        grant.end_grant(Epoch(3))
        self.assertTrue(grant.request(Epoch(2), 2.1).is_err())

    @given(st.lists(st.tuples(st.integers(1, 4), st.floats(0.0, 1.0)), max_size=30))
    def test_two_epochs_are_never_granted_at_once(self, requests: list[tuple[int, float]]) -> None:
        grant = MemberGrant(TTL_S, 0.0)
        now_s = TTL_S
        until_s: dict[int, float] = {}
        for epoch, passed_s in requests:
            now_s += passed_s
            if grant.request(Epoch(epoch), now_s).is_ok():
                until_s[epoch] = now_s + TTL_S
            self.assertLessEqual(sum(end_s > now_s for end_s in until_s.values()), 1)
