# SPDX-License-Identifier: Apache-2.0
import testtools
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ochreway_core.errors import SignatureInvalid
from ochreway_core.ids import BundleHash
from ochreway_core.signoff import approve, verify

BUNDLE = BundleHash("ab" * 32)


class SignoffTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.key = Ed25519PrivateKey.generate()
        self.keys = {"bo": self.key.public_key()}
        self.approval = approve(BUNDLE, "ann", "bo", self.key)

    def test_good(self) -> None:
        verify(self.approval, BUNDLE, self.keys)

    def test_author_may_not_approve(self) -> None:
        self.assertRaises(SignatureInvalid, approve, BUNDLE, "bo", "bo", self.key)

    def test_other_bundle(self) -> None:
        other = BundleHash("cd" * 32)
        self.assertRaises(SignatureInvalid, verify, self.approval, other, self.keys)

    def test_unknown_approver(self) -> None:
        self.assertRaises(SignatureInvalid, verify, self.approval, BUNDLE, {})

    def test_other_key(self) -> None:
        keys = {"bo": Ed25519PrivateKey.generate().public_key()}
        self.assertRaises(SignatureInvalid, verify, self.approval, BUNDLE, keys)
