# SPDX-License-Identifier: Apache-2.0
"""Errors of the daemon layer."""

from ochreway_core.errors import OchrewayError


class CallerFault(OchrewayError):
    """A caller's request is invalid."""


__all__ = ["CallerFault"]
