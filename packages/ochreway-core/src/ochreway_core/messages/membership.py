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
    """Tell a member what the table says of its group."""

    domain: DomainId
    term: Term
    row: GroupRow


@message(10)
@dataclass(frozen=True, slots=True)
class Dismiss:
    """Tell an agent that it is in no group as of the domain's epoch counter."""

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
    """Ask a member for a grant; the row rides along until the member has granted once.

    ``released`` tells a member that is leaving that nothing is in flight any more.
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
    """Promise a leader to grant nobody else for the grant's time to live."""

    group: GroupId
    epoch: Epoch
    sequence: int
    ready: bool
    leaving: bool


@message(4)
@dataclass(frozen=True, slots=True)
class GrantRefusal:
    """Refuse a leader a grant; ``formation`` is the one that the member knows of the epoch."""

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
    """Ask an agent of the domain how it fares."""

    domain: DomainId
    term: Term


@message(7)
@dataclass(frozen=True, slots=True)
class Report:
    """Tell a controller how an agent fares.

    ``artifact`` is what the target has loaded, empty while it loads.
    ``granting`` says that the agent's grant to its leader is fresh; ``missing`` names the
    members whose grants a leader lacks. ``reformed`` is the row of a formation that the
    leader made without the table.
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
    """Ask a leader for its load reports for a while."""

    group: GroupId


@message(9)
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tell entries whether a group takes work and how much it has.

    ``backlog_s`` is how long the prefill ahead is expected to take, handed over or queued.
    ``next_s`` is when the queue's first would begin its prefill.
    ``received`` is the sequence number of the last attempt that came from the entry that the
    report is for, so the entry knows which of its own are not in the report yet.
    ``reopens_in_s`` is for how much longer the target takes nothing, by what it asked for.
    ``cached`` and ``evicted`` are block hashes of the engine's prefix cache, late and with gaps.
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
