# SPDX-License-Identifier: Apache-2.0
"""Errors of the link layer."""

from ochreway_core.errors import OchrewayError


class LinkError(OchrewayError):
    """A link could not be established or used."""


class HandshakeRefused(LinkError):
    """The peer did not prove that it holds the key, or shares no protocol version."""


class BatchInvalid(LinkError):
    """A batch violates the protocol."""


__all__ = ["BatchInvalid", "HandshakeRefused", "LinkError"]
