# SPDX-License-Identifier: Apache-2.0
"""Nodes with so many members, followers, groups or instances, in a steady state."""

import random

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ochreway_core.bundle import bundle_hash, parse_bundle
from ochreway_core.ids import (
    ChangeId,
    DomainId,
    Epoch,
    GroupId,
    HallId,
    Incarnation,
    NodeId,
    ScopeId,
    TargetName,
    Version,
)
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_core.messages import (
    Follow,
    FollowView,
    Grant,
    Heartbeat,
    LoadReport,
    Order,
    Probe,
    Report,
)
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow, InstanceRow, LeaseRow, RollRow
from ochreway_core.signoff import approve
from ochreway_core.targetkind import TargetKind
from ochreway_core.timing import Timing
from ochreway_core.view import Snapshot, make_snapshot
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.controller import Controller
from ochreway_nodes.controller.domainrows import DomainRows
from ochreway_nodes.controller.health import Health
from ochreway_nodes.controller.repair import ExpectedCost, RepairTuning
from ochreway_nodes.entry import EntryNode
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.targetstate import TargetState
from ochreway_standins.slopes.meter import Meter

KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
KEYS = {"bo": KEY.public_key()}
DOMAIN = DomainId("region-1-hall-3-fabric-07")
SIZE = 8
START_S = 100.0


def peer(name: str, number: int) -> Peer:
    """Return a peer with names and addresses as long as real ones."""
    return Peer(NodeId(f"{name}-{number:05d}"), f"10.{number // 250}.{number % 250}.17:7400")


def bundle_body(groups: int) -> bytes:
    """Return a bundle of so many groups of eight, two to a section."""
    sections = []
    for section in range(max(groups // 2, 1)):
        names = ", ".join(f'"{peer("engine", section * 17 + index).node}"' for index in range(17))
        sections.append(
            f'[[group]]\nname = "care-{section:04d}"\ndomain = "{DOMAIN}-{section // 4}"\n'
            f'model = "planner"\nreplicas = 2\ninstances_per_replica = 8\ninstances = [{names}]\n'
        )
    return (
        'format = 1\nname = "fleet"\n[[model]]\nname = "planner"\nversion = "1"\n'
        'weights = "planner/1"\n' + "\n".join(sections) + '\n[[organisation]]\nname = "kestrel"\n'
        f'token_sha256 = "{"0" * 64}"\n'
    ).encode()


def snapshot(groups: int, version: int = 1) -> Snapshot:
    """Return an accepted version of so many groups."""
    body = bundle_body(groups)
    digest = bundle_hash(body)
    roll = RollRow(
        ScopeId("main"), Version(version), digest, "ann", "ann", ChangeId("c"), 1.0, 1.0, ()
    )
    return make_snapshot(roll, body, (approve(digest, "ann", "bo", KEY),))


def row_of(group: int, members: int) -> GroupRow:
    """Return a group's row."""
    return GroupRow(
        group=GroupId(f"care-{group:04d}"),
        domain=DOMAIN,
        kind=TargetKind.MODEL,
        target=TargetName("planner"),
        artifact="planner@1:planner/1+#serve",
        slots=64,
        priority=1,
        epoch=Epoch(group + 1),
        step=0,
        version=Version(1),
        draining=False,
        members=tuple(peer("engine", group * members + index) for index in range(members)),
    )


def leader(members: int, followers: int) -> Meter:
    """Return a leader of a group that serves, with followers."""
    row = row_of(0, members)
    node = AgentNode(row.leader, Incarnation(2**47), Timing(), KEYS, START_S, 0.0)
    meter = Meter(node, _member_answers, START_S)
    node.on_message(peer("entry", 0), Version(0), Order(DOMAIN, Epoch(1), row), START_S)  # type: ignore[arg-type]
    entries = [peer("entry", index) for index in range(followers)]

    def tick_beside(now_s: float) -> None:
        state = TargetState(row.epoch, row.artifact, True, now_s)
        node.on_target_state(state)
        if round(now_s * 10) % 50 == 0:
            for entry in entries:
                meter.receive(entry, [Follow(row.group)])

    _beside(meter, tick_beside)
    return meter


def _beside(meter: Meter, call: object) -> None:
    original = meter.node.on_tick

    def on_tick(now_s: float) -> None:
        call(now_s)  # type: ignore[operator]
        original(now_s)

    meter.node.on_tick = on_tick  # type: ignore[method-assign]


def _member_answers(member: Peer, message: object) -> list[object]:
    if isinstance(message, Heartbeat):
        return [Grant(message.group, message.epoch, message.sequence, True, False)]
    return []


def entry(groups: int, readers_followers: int = 0) -> Meter:
    """Return an entry that follows groups, and is followed for its view."""
    node = EntryNode(
        peer("entry", 1),
        Incarnation(2**47),
        HallId("hall-3"),
        ScopeId("main"),
        Timing(),
        KEYS,
        random.Random(1),
        START_S,
    )
    rows = tuple(row_of(index, SIZE) for index in range(groups))
    node.on_snapshot(snapshot(max(groups, 2)), START_S)
    node.keeper.set_groups(DOMAIN, Epoch(groups), rows)
    node.on_listing(
        [
            ListedInstance(
                member.node, member.address, InstanceKind.TARGET, HallId("hall-3"), DOMAIN
            )
            for row in rows
            for member in row.members
        ],
        START_S,
    )
    followers = [peer("entry", 100 + index) for index in range(readers_followers)]
    digest, listing = node.keeper._digest(), node.keeper._listing_digest

    def answer(leader: Peer, message: object) -> list[object]:
        if isinstance(message, Follow):
            return [load_report(message.group)]
        return []

    meter = Meter(node, answer, START_S)

    def tick_beside(now_s: float) -> None:
        if round(now_s * 10) % 50 == 0:
            for follower in followers:
                meter.receive(follower, [FollowView(digest, listing)])

    _beside(meter, tick_beside)
    return meter


def load_report(group: GroupId) -> LoadReport:
    """Return a load report of a busy group."""
    return LoadReport(
        group, Epoch(1), Incarnation(2**47), Reason.NONE, 40, 3, 0.2, 0.1, 100_000, 64, (), ()
    )


class ControllerNode:
    """Let a meter drive a controller that holds its lease."""

    version = Version(1)

    def __init__(self, instances: int) -> None:
        self.outbox = Outbox()
        self.controller = Controller(
            DOMAIN,
            NodeId("entry-00001#7fffffffffff"),
            Timing(lease_renew_s=1e9),
            ExpectedCost(RepairTuning()),
            self.outbox,
            random.Random(1),
            lambda: 1,
            START_S,
        )
        groups = instances // SIZE
        rows = [row_of(index, SIZE) for index in range(groups)]
        body = bundle_body(max(groups, 2)).decode().replace(f'"{DOMAIN}-0"', f'"{DOMAIN}"')
        self.controller.configure(parse_bundle(body.encode()).unwrap(), Version(1))
        self.controller.rows = DomainRows(
            DOMAIN,
            LeaseRow(NodeId("entry-00001#7fffffffffff"), Epoch(1), 1, Epoch(groups)),  # type: ignore[arg-type]
            {row.group: row for row in rows},
            {
                member.node: InstanceRow(member.node, row.group, row.epoch)
                for row in rows
                for member in row.members
            },
        )
        self.controller.holding = True
        self.controller._rows_fresh = True
        self.controller._plan_change = lambda rows, now_s: self._count(rows, now_s)  # type: ignore[method-assign]
        self._rows = {member.node: row for row in rows for member in row.members}
        self.controller.health = {
            member.node: Health(peer=member, listed=True) for row in rows for member in row.members
        }

    def _count(self, rows: DomainRows, now_s: float) -> None:
        assert self.controller._bundle is not None
        self.controller.tally.accumulate(
            self.controller._situation(self.controller._bundle, rows, now_s)
        )

    def take(self) -> list[object]:
        """Return the controller's effects."""
        return list(self.outbox.take())

    def on_tick(self, now_s: float) -> None:
        """Tick the controller."""
        self.controller.tick(now_s)

    def on_message(self, sender: Peer, version: Version, message: object, now_s: float) -> None:
        """Give the controller a report."""
        assert isinstance(message, Report)
        self.controller.on_report(message, now_s)

    def answer(self, agent: Peer, message: object) -> list[object]:
        """Report as an agent of a group that serves would."""
        if not isinstance(message, Probe):
            return []
        row = self._rows[agent.node]
        gate = Reason.NONE if row.leader == agent else Reason.NO_GROUP
        return [
            Report(
                agent.node,
                Incarnation(2**47),
                row.group,
                row.epoch,
                0,
                True,
                False,
                True,
                row.artifact,
                gate,
                True,
                (),
            )
        ]


def controller(instances: int) -> Meter:
    """Return a controller of a domain of so many instances, all well."""
    node = ControllerNode(instances)
    return Meter(node, node.answer, START_S)  # type: ignore[arg-type]


__all__ = ["controller", "entry", "leader", "load_report", "row_of", "snapshot"]
