# SPDX-License-Identifier: Apache-2.0
"""Errors of the decision layer."""


class OchrewayError(Exception):
    """Base of every error that ochreway raises."""


class InvariantViolation(OchrewayError):
    """An invariant was violated."""


class BundleError(OchrewayError):
    """A bundle is not acceptable."""


class SignatureInvalid(OchrewayError):
    """A signature does not match its content or its key."""


class CodecError(OchrewayError):
    """Bytes do not decode to the expected type."""


__all__ = ["BundleError", "CodecError", "InvariantViolation", "OchrewayError", "SignatureInvalid"]
