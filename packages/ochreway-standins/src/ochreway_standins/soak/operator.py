# SPDX-License-Identifier: Apache-2.0
"""Operators under virtual time who roll bundles concurrently."""

import hashlib
from collections.abc import Callable

from ochreway_core.bundle import bundle_hash, parse_bundle
from ochreway_core.codec import decode, encode
from ochreway_core.ids import ChangeId, NodeId, Version
from ochreway_core.rows import RollRow, approval_key, head_key, roll_key
from ochreway_core.signoff import approve
from ochreway_core.table import ABSENT, CommitReply, CommitStatus, Condition, ReadReply, Transaction
from ochreway_core.view import key_keepers
from ochreway_standins.soak.world import APPROVER_KEY, DOMAIN, SCOPE, START_WALL_S, World

ORGANISATIONS = ("kestrel", "hanbit")


def bundle_body(
    artifact: int,
    engines: int,
    services: int,
    weights: str = "",
    warm_spares: bool = True,
    standbys: int = 0,
) -> bytes:
    """Return a bundle: two replicas of three instances, services and two organisations."""
    engine_names = ", ".join(f'"engine-{index}"' for index in range(engines))
    names = ", ".join(f'"service-{index}"' for index in range(services))
    organisations = "".join(
        f'[[organisation]]\nname = "{name}"\n'
        f'token_sha256 = "{hashlib.sha256(name.encode()).hexdigest()}"\n'
        for name in ORGANISATIONS
    )
    return f"""
format = 1
name = "soak"
{weights}
[[model]]
name = "planner"
version = "{artifact}"
weights = "planner/{artifact}"
slots = 8

[[service]]
name = "roster"
slots = 8

[[group]]
name = "care"
domain = "{DOMAIN}"
model = "planner"
replicas = 2
instances_per_replica = 3
warm_spares = {str(warm_spares).lower()}
standbys = {standbys}
instances = [{engine_names}]

[[group]]
name = "roster"
domain = "{DOMAIN}"
service = "roster"
replicas = {services}
instances = [{names}]

{organisations}
""".encode()


class Operator:
    """Roll bundles by compare-and-set; read the row back if the answer is lost."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name
        self._changes = 0

    def roll(self, body: bytes, done: Callable[[Version | None], None]) -> None:
        """Roll a bundle; call ``done`` with the version, or ``None`` if it was not committed."""
        platform = self._world.platform
        digest = bundle_hash(body)
        platform.bodies[digest] = body
        approval = approve(digest, self._name, "bo", APPROVER_KEY)
        key = approval_key(digest, "bo")
        if key not in platform.table.rows:
            change = ChangeId(f"approve.{digest}")
            platform.table.commit_now(Transaction(change, (), {key: encode(approval)}))

        def read(reply: ReadReply) -> None:
            if reply.rows is None:
                done(None)
            else:
                self._commit(body, reply, done)

        platform.read((head_key(SCOPE),), read)

    def _commit(self, body: bytes, read: ReadReply, done: Callable[[Version | None], None]) -> None:
        assert read.rows is not None
        current = read.rows.get(head_key(SCOPE))
        former = decode(RollRow, current.content) if current else None
        roll = self._next_roll(body, former)
        head, record = head_key(SCOPE), roll_key(SCOPE, roll.version)
        content = encode(roll)
        revision = current.revision if current else ABSENT
        transaction = Transaction(
            roll.change,
            (Condition(head, revision), Condition(record, ABSENT)),
            {head: content, record: content},
        )

        def committed(reply: CommitReply) -> None:
            if reply.status is CommitStatus.LOST:
                self._settle(record, content, roll.version, done, 0)
            else:
                done(roll.version if reply.status is CommitStatus.COMMITTED else None)

        self._world.platform.commit(transaction, committed)

    def _settle(
        self,
        record: str,
        content: bytes,
        version: Version,
        done: Callable[[Version | None], None],
        tries: int,
    ) -> None:
        def read(reply: ReadReply) -> None:
            found = reply.rows.get(record) if reply.rows else None
            if found is not None:
                done(version if found.content == content else None)
            elif tries < 20:
                again = lambda: self._settle(record, content, version, done, tries + 1)  # noqa: E731
                self._world.clock.after(0.5, again)
            else:
                done(None)

        self._world.platform.read((record,), read)

    def _next_roll(self, body: bytes, former: RollRow | None) -> RollRow:
        self._changes += 1
        now_wall_s = START_WALL_S + self._world.clock.now_s
        return RollRow(
            scope=SCOPE,
            version=Version(former.version + 1 if former else 1),
            bundle=bundle_hash(body),
            author=self._name,
            operator=self._name,
            change=ChangeId(f"{self._name}.{self._changes}"),
            accepted_wall_s=now_wall_s,
            first_accepted_wall_s=former.first_accepted_wall_s if former else now_wall_s,
            former=self._former(former),
        )

    def _former(self, former: RollRow | None) -> tuple[tuple[NodeId, ...], ...]:
        if former is None:
            return ()
        keepers = key_keepers(parse_bundle(self._world.platform.bodies[former.bundle]).unwrap())
        return tuple(dict.fromkeys((keepers, *former.former[:3])))


__all__ = ["ORGANISATIONS", "Operator", "bundle_body"]
