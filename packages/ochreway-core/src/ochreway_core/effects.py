# SPDX-License-Identifier: Apache-2.0
"""Effects that a node asks the shell around it to perform."""

from dataclasses import dataclass, field
from enum import Enum

from ochreway_core.attemptid import AttemptId
from ochreway_core.ids import BundleHash, RequestId
from ochreway_core.messages.requests import Submit
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.table import Transaction
from ochreway_core.targetorder import TargetOrder


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a process; it may be lost."""

    peer: Peer
    message: object


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hand an attempt to the target, unless ``valid_until_s`` has passed."""

    submit: Submit
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Stop the target's work on an attempt."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class OrderTarget:
    """Send the target an order to load an artifact, unless ``valid_until_s`` has passed."""

    order: TargetOrder
    valid_until_s: float


class TableUse(Enum):
    """Part of a node that a table reply is for."""

    VIEW = "view"
    CONTROLLER = "controller"


@dataclass(frozen=True, slots=True)
class TableRead:
    """Read all rows whose keys begin with one of the prefixes."""

    use: TableUse
    call: int
    prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TableCommit:
    """Commit a transaction."""

    use: TableUse
    call: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class FetchBody:
    """Fetch a bundle's body from the object store."""

    bundle: BundleHash


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass a piece of an answer to the caller."""

    request: RequestId
    payload: bytes
    tokens: int
    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class Finish:
    """End a request and report its outcome to the caller."""

    request: RequestId
    outcome: Outcome
    reason: Reason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Log:
    """Write one event to the log."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


Effect = (
    Send
    | HandOver
    | CancelWork
    | OrderTarget
    | TableRead
    | TableCommit
    | FetchBody
    | Deliver
    | Finish
    | Count
    | Log
)

__all__ = [
    "CancelWork",
    "Count",
    "Deliver",
    "Effect",
    "FetchBody",
    "Finish",
    "HandOver",
    "Log",
    "OrderTarget",
    "Send",
    "TableCommit",
    "TableRead",
    "TableUse",
]
