# SPDX-License-Identifier: Apache-2.0
import math

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_platform.answernotice import (
    MAX_BACKOFF_S,
    UNREADABLE_BACKOFF_S,
    NoticeHeaders,
    parse_notice,
)

NAMES = NoticeHeaders(leaving="Leaving", limit="Limit")


class AnswerNoticeTests(testtools.TestCase):
    def parse(self, status: int, **headers: str) -> TargetNotice:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return parse_notice(status, named, NAMES)

    def test_a_rejection_may_request_a_backoff(self) -> None:
        for status in (429, 503):
            self.assertEqual(TargetNotice(2.5), self.parse(status, Retry_After="2.5"))
            self.assertEqual(NO_NOTICE, self.parse(status))

    def test_retry_after_is_ignored_with_other_statuses(self) -> None:
        for status in (200, 301, 421, 500, 502):
            self.assertEqual(NO_NOTICE, self.parse(status, Retry_After="3"))

    def test_an_invalid_or_excessive_backoff_is_bounded(self) -> None:
        for value in ("", "soon", "nan", "-1", "Wed, 21 Oct 2026 07:28:00 GMT"):
            self.assertEqual(UNREADABLE_BACKOFF_S, self.parse(503, Retry_After=value).backoff_s)
        for value in ("1e9", "inf", "9" * 400):
            self.assertEqual(MAX_BACKOFF_S, self.parse(503, Retry_After=value).backoff_s)

    def test_any_answer_may_announce_that_the_target_leaves(self) -> None:
        for status in (200, 409, 421, 503):
            self.assertTrue(self.parse(status, Leaving="1").leaving)
            self.assertFalse(self.parse(status, Leaving="0").leaving)

    def test_any_answer_may_state_a_limit(self) -> None:
        for status in (200, 409, 500, 503):
            for value, limit_per_s in (("1", 1.0), ("2.4", 2.4), (" .5 ", 0.5), ("12.", 12.0)):
                self.assertEqual(limit_per_s, self.parse(status, Limit=value).limit_per_s)

    def test_an_invalid_value_is_no_limit(self) -> None:
        odd = ("", "0", "0.00", "-1", "+2", "nan", "inf", "1e3", "1_0", "0x4", "two", "1,5", "٣")
        for value in (*odd, "9" * 400):
            self.assertEqual(NO_NOTICE, self.parse(200, Limit=value))

    @given(st.integers(100, 599), st.text(), st.text(), st.text())
    def test_any_bytes_give_a_notice(
        self, status: int, asked: str, leaving: str, limit: str
    ) -> None:
        target_notice = self.parse(status, Retry_After=asked, Leaving=leaving, Limit=limit)
        if target_notice.backoff_s is not None:
            self.assertTrue(0.0 <= target_notice.backoff_s <= MAX_BACKOFF_S)
        if target_notice.limit_per_s is not None:
            self.assertTrue(0.0 < target_notice.limit_per_s < math.inf)
