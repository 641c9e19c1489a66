# SPDX-License-Identifier: Apache-2.0
"""Fingerprint of a request's content, the same for each attempt."""

import hashlib

from ochreway_core.ids import Fingerprint

FINGERPRINT_BYTES = 12
"""Long enough that nobody finds a collision with another caller's request by trial."""


def fingerprint_of(caller: str, method: str, path: str, body: bytes) -> Fingerprint:
    """Return a request's fingerprint; its id is left out, as each try has its own."""
    hashed = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    # The lengths come first, so that different splits of the same text hash differently.
    header = f"{len(body)},{len(caller)},{len(method)}:{caller}{method}{path}"
    # A path may hold bytes that are not valid text, kept as surrogates by its reader.
    hashed.update(header.encode(errors="surrogatepass"))
    return Fingerprint(hashed.hexdigest())


__all__ = ["fingerprint_of"]
