# SPDX-License-Identifier: Apache-2.0
"""Errors of the link layer."""

from ochreway_core.errors import OchrewayError


class LinkError(OchrewayError):
    """A link could not be made or used."""


class HandshakeRefused(LinkError):
    """The other end did not prove that it holds the key, or speaks no common version."""


class BatchInvalid(LinkError):
    """A batch is not what the protocol allows."""


__all__ = ["BatchInvalid", "HandshakeRefused", "LinkError"]
