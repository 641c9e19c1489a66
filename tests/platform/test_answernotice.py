# SPDX-License-Identifier: Apache-2.0
import math

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_platform.answernotice import (
    BACKOFF_AT_MOST_S,
    UNREADABLE_S,
    NoticeHeaders,
    answer_notice,
)

NAMES = NoticeHeaders(leaving="Leaving", limit="Limit")


class AnswerNoticeTests(testtools.TestCase):
    def notice(self, status: int, **headers: str) -> TargetNotice:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return answer_notice(status, named, NAMES)

    def test_a_target_that_turns_away_may_say_when_to_come_back(self) -> None:
        for status in (429, 503):
            self.assertEqual(TargetNotice(2.5), self.notice(status, Retry_After="2.5"))
            self.assertEqual(NO_NOTICE, self.notice(status))

    def test_with_other_statuses_the_header_is_no_word_of_the_target(self) -> None:
        for status in (200, 301, 421, 500, 502):
            self.assertEqual(NO_NOTICE, self.notice(status, Retry_After="3"))

    def test_a_time_that_cannot_be_read_or_be_meant_is_bounded(self) -> None:
        for value in ("", "soon", "nan", "-1", "Wed, 21 Oct 2026 07:28:00 GMT"):
            self.assertEqual(UNREADABLE_S, self.notice(503, Retry_After=value).backoff_s)
        for value in ("1e9", "inf", "9" * 400):
            self.assertEqual(BACKOFF_AT_MOST_S, self.notice(503, Retry_After=value).backoff_s)

    def test_a_target_says_in_any_answer_that_it_leaves(self) -> None:
        for status in (200, 409, 421, 503):
            self.assertTrue(self.notice(status, Leaving="1").leaving)
            self.assertFalse(self.notice(status, Leaving="0").leaving)

    def test_a_target_names_in_any_answer_how_much_it_takes(self) -> None:
        for status in (200, 409, 500, 503):
            for value, limit_per_s in (("1", 1.0), ("2.4", 2.4), (" .5 ", 0.5), ("12.", 12.0)):
                self.assertEqual(limit_per_s, self.notice(status, Limit=value).limit_per_s)

    def test_an_odd_value_is_no_limit(self) -> None:
        odd = ("", "0", "0.00", "-1", "+2", "nan", "inf", "1e3", "1_0", "0x4", "two", "1,5", "٣")
        for value in (*odd, "9" * 400):
            self.assertEqual(NO_NOTICE, self.notice(200, Limit=value))

    @given(st.integers(100, 599), st.text(), st.text(), st.text())
    def test_any_bytes_give_a_notice(
        self, status: int, asked: str, leaving: str, limit: str
    ) -> None:
        found = self.notice(status, Retry_After=asked, Leaving=leaving, Limit=limit)
        if found.backoff_s is not None:
            self.assertTrue(0.0 <= found.backoff_s <= BACKOFF_AT_MOST_S)
        if found.limit_per_s is not None:
            self.assertTrue(0.0 < found.limit_per_s < math.inf)
