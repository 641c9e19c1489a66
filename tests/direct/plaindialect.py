# SPDX-License-Identifier: Apache-2.0
"""A dialect with short header names, for tests of the relay."""

from collections.abc import Mapping

from multidict import CIMultiDict

from ochreway_core.ids import PartId
from ochreway_direct.ids import ModelName
from ochreway_direct.ports import AnswerHead, CallerDialect, CallerTerms, ForwardTerms
from ochreway_platform.answernotice import parse_notice
from ochreway_platform.httptarget import NOTICE_HEADERS


class PlainDialect(CallerDialect):
    def read(self, headers: Mapping[str, str]) -> CallerTerms:
        deadline = headers.get("Deadline-S")
        model = headers.get("Model")
        return CallerTerms(
            request=headers.get("Request", ""),
            key=headers.get("Key", ""),
            deadline_s=float(deadline) if deadline else None,
            model=ModelName(model) if model else None,
            resume_after=headers.get("After"),
            prompt_tokens=10,
            answer_tokens=10,
            subject="",
            parts=tuple(PartId(each) for each in headers.get("Parts", "").split(",") if each),
        )

    def forward(self, headers: Mapping[str, str], terms: ForwardTerms) -> CIMultiDict[str]:
        given = CIMultiDict({"Request": headers["Request"], "Instance": terms.instance})
        given["Organisation"] = terms.organisation or ""
        given["Deadline-S"] = str(terms.deadline_s)
        if terms.resume_after is not None:
            given["After"] = terms.resume_after
        return given

    def answer_head(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        return AnswerHead(
            headers.get("Request", ""),
            "Signed" in headers,
            "Not-Run" in headers,
            "Content-Encoding" in headers,
            parse_notice(status, headers, NOTICE_HEADERS),
        )

    def answer(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        forwarded = ("Request", "Signed", "Content-Type")
        return CIMultiDict((name, headers[name]) for name in forwarded if name in headers)

    def refusal(self, request: str, retry_after_s: float | None) -> CIMultiDict[str]:
        return CIMultiDict({"Retry-After": str(retry_after_s)} if retry_after_s else {})
