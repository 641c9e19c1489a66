# SPDX-License-Identifier: Apache-2.0
"""Approval of bundles by Ed25519 signatures over the bundle's hash."""

from dataclasses import dataclass

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from ochreway_core.errors import SignatureInvalid
from ochreway_core.ids import BundleHash

CONTEXT = b"ochreway approval 1\0"


@dataclass(frozen=True, slots=True)
class Approval:
    """State that one operator approves one bundle."""

    bundle: BundleHash
    author: str
    approver: str
    signature: bytes

    def content(self) -> bytes:
        """Return the bytes that are signed."""
        return CONTEXT + f"{self.bundle}\0{self.author}\0{self.approver}".encode()


def approve(bundle: BundleHash, author: str, approver: str, key: Ed25519PrivateKey) -> Approval:
    """Sign a bundle's hash.

    Raises:
        SignatureInvalid: if the approver is the author.
    """
    if author == approver:
        raise SignatureInvalid("a bundle is approved by someone other than its author")
    unsigned = Approval(bundle, author, approver, b"")
    return Approval(bundle, author, approver, key.sign(unsigned.content()))


def verify(approval: Approval, bundle: BundleHash, keys: dict[str, Ed25519PublicKey]) -> None:
    """Check that a known approver, not the author, signed this bundle.

    Args:
        approval: the approval to check.
        bundle: the hash of the bundle's actual bytes.
        keys: the public key of each operator that may approve.

    Raises:
        SignatureInvalid: if any check fails.
    """
    if approval.bundle != bundle:
        raise SignatureInvalid("the approval is for another bundle")
    if approval.author == approval.approver:
        raise SignatureInvalid("the approver is the author")
    key = keys.get(approval.approver)
    if key is None:
        raise SignatureInvalid(f"no key is known for approver {approval.approver}")
    try:
        key.verify(approval.signature, approval.content())
    except InvalidSignature:
        raise SignatureInvalid("the signature does not match") from None


__all__ = ["Approval", "approve", "verify"]
