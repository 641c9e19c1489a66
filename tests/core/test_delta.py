# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.bodydelta import apply_delta, delta_between
from ochreway_core.messages import Frame
from ochreway_core.reassembly import Reassembly
from tests.core.test_codec import ATTEMPT

BODIES = st.text(alphabet="ab\n", max_size=40).map(str.encode)


class DeltaTests(testtools.TestCase):
    @given(BODIES, BODIES)
    def test_delta_turns_the_base_into_the_body(self, base: bytes, body: bytes) -> None:
        self.assertEqual(body, apply_delta(base, delta_between(base, body), 1000))

    def test_small_change_of_a_long_body_is_small(self) -> None:
        base = b"".join(b"line %d\n" % number for number in range(10_000))
        changed = base.replace(b"line 5000\n", b"line 5000 changed\n")
        self.assertLess(len(delta_between(base, changed).packed), 40)


class ReassemblyTests(testtools.TestCase):
    @given(st.binary(min_size=1, max_size=60), st.data())
    def test_any_frames_in_any_order_give_the_answer_once(
        self, answer: bytes, data: st.DataObject
    ) -> None:
        cuts = sorted(data.draw(st.lists(st.integers(0, len(answer)), max_size=8)))
        edges = [0, *cuts, len(answer)]
        spans = list(zip(edges, edges[1:], strict=False))
        extra = data.draw(st.lists(st.sampled_from(spans), max_size=4))
        order = data.draw(st.permutations([*spans, *extra]))
        reassembly = Reassembly()
        passed_on = b""
        for begin, end in order:
            total = len(answer) if end == len(answer) else None
            frame = Frame(ATTEMPT, begin, answer[begin:end], 1, 200, "", total)
            passed_on += b"".join(each.payload for each in reassembly.add(frame))
        self.assertEqual(answer, passed_on)
        self.assertTrue(reassembly.is_complete)
