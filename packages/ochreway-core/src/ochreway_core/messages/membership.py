# SPDX-License-Identifier: Apache-2.0
"""Messages that form groups and keep them alive."""

from dataclasses import dataclass

from ochreway_core.ids import DomainId, Epoch, GroupId, Incarnation, NodeId, Term
from ochreway_core.message import message
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow


@message(1)
@dataclass(frozen=True, slots=True)
class Order:
    """Send a member its group's row from the table."""

    domain: DomainId
    term: Term
    row: GroupRow


@message(10)
@dataclass(frozen=True, slots=True)
class Dismiss:
    """Notify an agent that it is in no group as of the domain's epoch counter."""

    domain: DomainId
    counter: Epoch


@message(11)
@dataclass(frozen=True, slots=True)
class Warm:
    """Ask an agent in no group, as of the domain's epoch counter, to load an artifact."""

    domain: DomainId
    counter: Epoch
    artifact: str


@message(2)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Request a member's grant; the row is included until the member has granted once.

    ``released`` notifies a leaving member that no requests are in flight any more.
    """

    group: GroupId
    epoch: Epoch
    formation: int
    sequence: int
    released: bool
    row: GroupRow | None


@message(3)
@dataclass(frozen=True, slots=True)
class Grant:
    """Promise a leader to grant no other leader for the grant's TTL."""

    group: GroupId
    epoch: Epoch
    sequence: int
    ready: bool
    leaving: bool


@message(4)
@dataclass(frozen=True, slots=True)
class GrantRefusal:
    """Refuse a leader a grant; ``formation`` is the epoch's one that the member knows."""

    group: GroupId
    epoch: Epoch
    sequence: int
    reason: Reason
    wait_s: float
    formation: int = 0


@message(5)
@dataclass(frozen=True, slots=True)
class Release:
    """Return a grant before it lapses."""

    group: GroupId
    epoch: Epoch


@message(6)
@dataclass(frozen=True, slots=True)
class Probe:
    """Request the status of an agent of the domain."""

    domain: DomainId
    term: Term


@message(7)
@dataclass(frozen=True, slots=True)
class Report:
    """Report an agent's status to a controller.

    ``artifact`` is what the target has loaded, empty while it loads.
    ``granting`` states that the agent's grant to its leader is fresh; ``missing`` names the
    members whose grants a leader lacks. ``reformed`` is the row of a formation that the leader
    made without writing to the table.
    """

    node: NodeId
    incarnation: Incarnation
    group: GroupId
    epoch: Epoch
    step: int
    ready: bool
    leaving: bool
    granting: bool
    artifact: str
    gate: Reason
    drained: bool
    missing: tuple[NodeId, ...]
    reformed: GroupRow | None = None


@message(8)
@dataclass(frozen=True, slots=True)
class Follow:
    """Subscribe to a leader's load reports for a limited time."""

    group: GroupId


@message(9)
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report to entries whether a group accepts work and how much it has.

    ``backlog_s`` is how long the prefill ahead is expected to take, handed over or queued.
    ``next_s`` is in how long the first work in the queue would begin its prefill.
    ``received`` is the sequence number of the last attempt that came from the entry that the
    report is for, so the entry knows which of its own are not in the report yet.
    ``reopens_in_s`` is for how much longer the target accepts nothing, as it requested.
    ``cached`` and ``evicted`` are block hashes of the engine's prefix cache, delayed and with gaps.
    """

    group: GroupId
    epoch: Epoch
    incarnation: Incarnation
    gate: Reason
    in_flight: int
    queued: int
    backlog_s: float
    next_s: float
    received: int
    slots: int
    cached: tuple[int, ...]
    evicted: tuple[int, ...]
    reopens_in_s: float = 0.0


__all__ = [
    "Dismiss",
    "Follow",
    "Grant",
    "GrantRefusal",
    "Heartbeat",
    "LoadReport",
    "Order",
    "Probe",
    "Release",
    "Report",
    "Warm",
]
