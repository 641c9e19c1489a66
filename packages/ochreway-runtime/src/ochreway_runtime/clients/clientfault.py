# SPDX-License-Identifier: Apache-2.0
"""Why a client is refused by its connection, or its connection is ended."""

from enum import Enum


class ClientFault(Enum):
    """Name what a client did, or what is short because of it."""

    HEAD_TOO_LARGE = "head_too_large"
    """A head, or the framing of a body, has no end within the limit on heads."""
    NOT_A_REQUEST = "not_a_request"
    """The bytes are no HTTP request."""
    HEAD_LATE = "head_late"
    """A head was not complete in time."""
    BODY_UNREAD = "body_unread"
    """The request was answered before the whole body had arrived."""
    AFTER_LAST = "after_last"
    """Bytes followed a request that was the last one of its connection."""
    ANSWER_UNTAKEN = "answer_untaken"
    """The client took nothing of what was written for too long."""
    MEMORY = "memory"
    """All connections together hold more than they may."""
    CONNECTIONS = "connections"
    """Another client needs the connection more than one that has sent no whole request."""


__all__ = ["ClientFault"]
