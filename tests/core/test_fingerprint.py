# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.fingerprint import fingerprint_of

requests = st.tuples(st.text(), st.text(), st.text(), st.binary())


class FingerprintTests(testtools.TestCase):
    @given(requests)
    def test_the_same_request_has_the_same_fingerprint(self, one: tuple) -> None:
        self.assertEqual(fingerprint_of(*one), fingerprint_of(*one))

    @given(requests, requests)
    def test_others_differ(self, one: tuple, other: tuple) -> None:
        self.assertEqual(one == other, fingerprint_of(*one) == fingerprint_of(*other))

    def test_a_path_may_hold_bytes_that_are_no_text(self) -> None:
        paths = [raw.decode(errors="surrogateescape") for raw in (b"/a\xff", b"/a\xfe")]
        fingerprints = {fingerprint_of("ann", "GET", path, b"") for path in paths}
        self.assertEqual(2, len(fingerprints))

    def test_no_part_is_taken_for_the_end_of_another(self) -> None:
        fingerprints = {
            fingerprint_of("ann", "GET", "/a", b""),
            fingerprint_of("annG", "ET", "/a", b""),
            fingerprint_of("an", "nGET", "/a", b""),
            fingerprint_of("ann", "GET/", "a", b""),
            fingerprint_of("ann", "GET", "/", b"a"),
        }
        self.assertEqual(5, len(fingerprints))
