# SPDX-License-Identifier: Apache-2.0
"""Handshake of a link: each end identifies itself and proves that it holds the key.

Each end sends a hello with a nonce and answers the peer's hello with an HMAC over both hellos, the
prover's first. A recorded proof is therefore invalid on another link, and an end's own proof cannot
be replayed to it.
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
    """Identity, protocol versions and nonce of one end of a link."""

    protocols: tuple[int, ...]
    node: NodeId
    address: str
    nonce: bytes

    @property
    def peer(self) -> Peer:
        """Return the process that sent the hello, as a peer."""
        return Peer(self.node, self.address)


def new_hello(me: Peer) -> Hello:
    """Return a hello with a fresh nonce."""
    return Hello(PROTOCOLS, me.node, me.address, os.urandom(NONCE_BYTES))


def compute_proof(key: bytes, prover: bytes, verifier: bytes) -> bytes:
    """Compute the HMAC that proves that the prover holds the key.

    Args:
        key: The link key.
        prover: The encoded hello of the end that proves itself.
        verifier: The encoded hello of the end that checks the proof.
    """
    return hmac.digest(key, b"ochreway link\0" + prover + verifier, hashlib.sha256)


def verify_proof(key: bytes, prover: bytes, verifier: bytes, received_proof: bytes) -> None:
    """Check the proof received from the prover.

    Raises:
        HandshakeRefused: if it does not match.
    """
    if not hmac.compare_digest(compute_proof(key, prover, verifier), received_proof):
        raise HandshakeRefused("the peer does not hold the link key")


def decode_hello(content: bytes) -> Hello:
    """Decode the peer's hello and check that it shares a protocol version.

    Raises:
        HandshakeRefused: if it is not a hello, or no protocol version is shared.
    """
    try:
        hello = decode(Hello, content)
    except CodecError as error:
        raise HandshakeRefused(str(error)) from error
    if not set(hello.protocols) & set(PROTOCOLS):
        raise HandshakeRefused(f"no common protocol version: {hello.protocols} and {PROTOCOLS}")
    return hello


def encode_hello(hello: Hello) -> bytes:
    """Encode a hello."""
    return encode(hello)


__all__ = ["Hello", "verify_proof", "encode_hello", "new_hello", "compute_proof", "decode_hello"]
