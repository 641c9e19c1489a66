# SPDX-License-Identifier: Apache-2.0
"""The first messages on a link: who each end is, and proof that it holds the key.

Each end sends a nonce; each answers the other's with an HMAC over both hellos, so a recorded
proof is of no use on another link, and an end cannot be fed its own proof.
"""

import hashlib
import hmac
import os
from dataclasses import dataclass

from ochreway_core.codec import decode, encode
from ochreway_core.errors import CodecError
from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_wire.errors import HandshakeRefused

PROTOCOLS = (1,)
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Hello:
    """Present one end of a link."""

    protocols: tuple[int, ...]
    node: NodeId
    address: str
    nonce: bytes

    @property
    def peer(self) -> Peer:
        """Return the process that the hello presents."""
        return Peer(self.node, self.address)


def new_hello(me: Peer) -> Hello:
    """Return a hello with a fresh nonce."""
    return Hello(PROTOCOLS, me.node, me.address, os.urandom(NONCE_BYTES))


def compute_proof(key: bytes, prover: bytes, verifier: bytes) -> bytes:
    """Return the proof that the prover's hello was sent by a holder of the key."""
    return hmac.digest(key, b"ochreway link\0" + prover + verifier, hashlib.sha256)


def verify_proof(key: bytes, prover: bytes, verifier: bytes, received_proof: bytes) -> None:
    """Check a proof.

    Raises:
        HandshakeRefused: when it does not match.
    """
    if not hmac.compare_digest(compute_proof(key, prover, verifier), received_proof):
        raise HandshakeRefused("the other end does not hold the link key")


def decode_hello(content: bytes) -> Hello:
    """Read the other end's hello.

    Raises:
        HandshakeRefused: when it is no hello, or no protocol is common.
    """
    try:
        hello = decode(Hello, content)
    except CodecError as error:
        raise HandshakeRefused(str(error)) from error
    if not set(hello.protocols) & set(PROTOCOLS):
        raise HandshakeRefused(f"no common protocol: {hello.protocols} and {PROTOCOLS}")
    return hello


def encode_hello(hello: Hello) -> bytes:
    """Return a hello as bytes."""
    return encode(hello)


__all__ = ["Hello", "verify_proof", "encode_hello", "new_hello", "compute_proof", "decode_hello"]
