# SPDX-License-Identifier: Apache-2.0
"""What the kernel still holds of the bytes written to a connection."""

import asyncio

from ochreway_runtime.clients.socketbuffers import unsent_bytes


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how much the kernel holds that the peer has not acknowledged; 0 if unknown."""
    return unsent_bytes(transport.get_extra_info("socket"))


__all__ = ["unacknowledged_bytes"]
