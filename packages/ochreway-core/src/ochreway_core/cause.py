# SPDX-License-Identifier: Apache-2.0
"""What about a request may crash its target: the request as a whole, or a part of its prompt."""

import hashlib
from collections.abc import Iterable

from ochreway_core.ids import CauseId, Fingerprint, PartId

MAX_PARTS = 32
"""Bound on the parts of a prompt that are considered; the first ones are."""
MAX_NAME_LENGTH = 64
"""Longer names, and those with unusual characters, are replaced by their hash."""
HASH_BYTES = 12
_PART_PREFIX = "part:"
_MODEL_SEPARATOR = "@"


def causes_of(
    fingerprint: Fingerprint, parts: Iterable[PartId] = (), model: str | None = None
) -> tuple[CauseId, ...]:
    """Return the possible causes of a crash under a request.

    A part counts by itself and for the request's model: one that crashes only some model's targets
    is served soundly by others, which must not clear it there.
    """
    causes = [CauseId(fingerprint)]
    model_suffix = f"{_MODEL_SEPARATOR}{_short(model)}" if model else ""
    for part in dict.fromkeys([*parts][:MAX_PARTS]):
        name = f"{_PART_PREFIX}{_short(part)}"
        causes.append(CauseId(name))
        if model_suffix:
            causes.append(CauseId(name + model_suffix))
    return tuple(causes)


def _short(name: str) -> str:
    """Return a name that is fit for messages, logs and keys of rows, as callers choose it."""
    if len(name) <= MAX_NAME_LENGTH and name.isascii() and name.isprintable():
        return name
    encoded = name.encode(errors="surrogatepass")
    return hashlib.blake2b(encoded, digest_size=HASH_BYTES).hexdigest()


def is_part(cause: CauseId) -> bool:
    """Return whether a cause is a part of a prompt, which different requests may share."""
    return cause.startswith(_PART_PREFIX)


__all__ = ["MAX_PARTS", "causes_of", "is_part"]
