# SPDX-License-Identifier: Apache-2.0
"""Error for a body that cannot be held."""

from ochreway_core.errors import OchrewayError


class MemoryFull(OchrewayError):
    """A body does not fit into the memory for bodies and answers."""


__all__ = ["MemoryFull"]
