# SPDX-License-Identifier: Apache-2.0
"""What a request asks for, in a few bytes, whichever try brings it."""

import hashlib

from ochreway_core.ids import Fingerprint

FINGERPRINT_BYTES = 12
"""Enough that nobody finds a request with the fingerprint of somebody else's by trying."""


def fingerprint_of(caller: str, method: str, path: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request; its id does not count, as each try has its own."""
    hashed = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    # Lengths go first, so that no text can be taken for the end of another.
    header = f"{len(body)},{len(caller)},{len(method)}:{caller}{method}{path}"
    # A path may hold bytes that are no text, which its reader has kept as surrogates.
    hashed.update(header.encode(errors="surrogatepass"))
    return Fingerprint(hashed.hexdigest())


__all__ = ["fingerprint_of"]
