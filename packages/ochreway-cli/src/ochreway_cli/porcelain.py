# SPDX-License-Identifier: Apache-2.0
"""The porcelain: what the commands do, above the services of the platform."""

import base64
import time
from dataclasses import dataclass
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.hazmat.primitives.serialization import PublicFormat as Public

from ochreway_cli import settle
from ochreway_cli.errors import (
    BundleRefused,
    CommandError,
    NotApproved,
    NotFound,
    PlatformDown,
    RaceLost,
)
from ochreway_core.bundle import Bundle, bundle_hash, parse_bundle
from ochreway_core.codec import decode, encode
from ochreway_core.errors import SignatureInvalid
from ochreway_core.ids import BundleHash, NodeId, ScopeId, Version
from ochreway_core.rows import BundleRow, RollRow, approval_key, bundle_key, head_key, roll_key
from ochreway_core.signoff import Approval, approve
from ochreway_core.table import ABSENT, Condition, Transaction
from ochreway_core.view import Snapshot, key_keepers, make_snapshot
from ochreway_platform.errors import ObjectMissing, ObjectStoreUnavailable
from ochreway_platform.objectstore import ObjectStore
from ochreway_platform.table import Table

FORMER_KEEPERS_RETENTION_S = 300.0


@dataclass(frozen=True, slots=True)
class KeyPair:
    """A new operator key pair, both keys encoded as base64."""

    private: str
    public: str


def check_bundle(body: bytes) -> Bundle:
    """Check a bundle.

    Args:
        body: the bundle's TOML.

    Returns:
        The bundle.

    Raises:
        BundleRefused: if the bundle is invalid, with one line per fault.
    """
    parsed = parse_bundle(body)
    if parsed.is_err():
        raise BundleRefused(parsed.unwrap_err())
    return parsed.unwrap()


def new_keys() -> KeyPair:
    """Return a new key pair for sign-off."""
    key = Ed25519PrivateKey.generate()
    private = key.private_bytes(Encoding.Raw, PrivateFormat.Raw, NoEncryption())
    public = key.public_key().public_bytes(Encoding.Raw, Public.Raw)
    return KeyPair(base64.b64encode(private).decode(), base64.b64encode(public).decode())


def load_key(path: Path) -> Ed25519PrivateKey:
    """Read a private key from a file.

    Raises:
        CommandError: if the file cannot be read or is not such a key.
    """
    try:
        return Ed25519PrivateKey.from_private_bytes(base64.b64decode(path.read_text().strip()))
    except (OSError, ValueError) as error:
        raise CommandError(f"{path}: not a key of `ochreway keys new`: {error}") from error


class Porcelain:
    """Carries out operator requests on the platform's table and object store."""

    def __init__(self, table: Table, objects: ObjectStore, scope: ScopeId) -> None:
        self._table = table
        self._objects = objects
        self._scope = scope

    async def submit(self, body: bytes, author: str) -> BundleRow:
        """Submit a bundle for sign-off.

        Args:
            body: the bundle's TOML.
            author: name of its author.

        Returns:
            The bundle's row; the existing one if the same bundle was submitted before.

        Raises:
            BundleRefused: if the bundle is invalid or of another scope.
            PlatformDown: if the platform does not answer.
        """
        bundle = check_bundle(body)
        if bundle.scope != self._scope:
            raise BundleRefused([f"scope: {bundle.scope} is not this scope, {self._scope}"])
        digest = bundle_hash(body)
        try:
            await self._objects.put(f"bundles/{digest}", body)
        except ObjectStoreUnavailable as error:
            raise PlatformDown(f"the object store does not answer: {error}") from error
        key = bundle_key(digest)
        row = BundleRow(digest, author, bundle.name, time.time())
        transaction = Transaction(
            settle.new_change(author), (Condition(key, ABSENT),), {key: encode(row)}
        )
        try:
            await settle.commit(self._table, transaction, key)
        except RaceLost:
            return await self.bundle_row(digest)
        return row

    async def bundle_row(self, digest: str) -> BundleRow:
        """Return a submitted bundle's row, given its hash or a unique prefix of it.

        Raises:
            NotFound: if no bundle, or more than one, matches the prefix.
        """
        rows = await settle.read(self._table, bundle_key(digest))
        if len(rows) != 1:
            raise NotFound(f"{len(rows)} bundles begin with {digest!r}")
        return decode(BundleRow, next(iter(rows.values())).content)

    async def body(self, digest: BundleHash) -> bytes:
        """Return a bundle's TOML.

        Raises:
            NotFound: if the object store does not have it.
            PlatformDown: if the object store does not answer.
        """
        try:
            return await self._objects.get(f"bundles/{digest}")
        except ObjectMissing as error:
            raise NotFound(f"no body of {digest}") from error
        except ObjectStoreUnavailable as error:
            raise PlatformDown(f"the object store does not answer: {error}") from error

    async def bundles(self) -> list[BundleRow]:
        """Return every submitted bundle, newest last."""
        rows = await settle.read(self._table, "bundle/")
        bundle_rows = [decode(BundleRow, row.content) for row in rows.values()]
        return sorted(bundle_rows, key=lambda row: row.submitted_wall_s)

    async def approvals(self, digest: str) -> list[Approval]:
        """Return the approvals of a bundle."""
        rows = await settle.read(self._table, approval_key(digest))
        return [decode(Approval, row.content) for row in rows.values()]

    async def approve(self, digest: str, approver: str, key: Ed25519PrivateKey) -> Approval:
        """Sign off a bundle.

        Raises:
            NotApproved: if the approver is the author.
            NotFound: if there is no such bundle.
        """
        row = await self.bundle_row(digest)
        try:
            approval = approve(row.bundle, row.author, approver, key)
        except SignatureInvalid as error:
            raise NotApproved(str(error)) from error
        approval_row_key = approval_key(row.bundle, approver)
        transaction = Transaction(
            settle.new_change(approver),
            (Condition(approval_row_key, ABSENT),),
            {approval_row_key: encode(approval)},
        )
        await settle.commit(self._table, transaction, approval_row_key)
        return approval

    async def head(self) -> RollRow | None:
        """Return the accepted version, or None if there is none."""
        rows = await settle.read(self._table, head_key(self._scope))
        row = rows.get(head_key(self._scope))
        return decode(RollRow, row.content) if row else None

    async def roll(self, digest: str, operator: str, seen: int | None) -> Snapshot:
        """Accept a signed-off bundle as the next version.

        Args:
            digest: the bundle's hash, or a unique prefix of it.
            operator: name of the operator.
            seen: the version the operator believes to be in force; None accepts any.

        Returns:
            The accepted version with everything a process needs to apply it.

        Raises:
            NotApproved: if nobody has signed it off.
            RaceLost: if another version is in force or was committed first; the message names it.
            FateUnknown: if the outcome of the change cannot be determined.
        """
        bundle = await self.bundle_row(digest)
        approvals = await self.approvals(bundle.bundle)
        if not approvals:
            raise NotApproved(f"{bundle.bundle[:12]} has not been signed off")
        body = await self.body(bundle.bundle)
        rows = await settle.read(self._table, head_key(self._scope))
        current = rows.get(head_key(self._scope))
        former = decode(RollRow, current.content) if current else None
        current_version = former.version if former else Version(0)
        if seen is not None and seen != current_version:
            raise RaceLost(f"version {current_version} is in force, not {seen}")
        roll = await self._next_roll(former, bundle, operator)
        try:
            await self._commit_roll(roll, current.revision if current else ABSENT)
        except RaceLost as error:
            raise RaceLost(await self._describe_winner(roll)) from error
        return make_snapshot(roll, body, tuple(approvals))

    async def _next_roll(self, former: RollRow | None, bundle: BundleRow, operator: str) -> RollRow:
        now_wall_s = time.time()
        return RollRow(
            scope=self._scope,
            version=Version(former.version + 1 if former else 1),
            bundle=bundle.bundle,
            author=bundle.author,
            operator=operator,
            change=settle.new_change(operator),
            accepted_wall_s=now_wall_s,
            first_accepted_wall_s=former.first_accepted_wall_s if former else now_wall_s,
            former=await self._former_keepers(former, now_wall_s),
        )

    async def _former_keepers(
        self, former: RollRow | None, now_wall_s: float
    ) -> tuple[tuple[NodeId, ...], ...]:
        if former is None:
            return ()
        keepers = [key_keepers(check_bundle(await self.body(former.bundle)))]
        if now_wall_s - former.accepted_wall_s < FORMER_KEEPERS_RETENTION_S:
            keepers += former.former
        return tuple(dict.fromkeys(keepers))

    async def _commit_roll(self, roll: RollRow, revision: int) -> None:
        head_row_key, record_key = head_key(self._scope), roll_key(self._scope, roll.version)
        content = encode(roll)
        transaction = Transaction(
            roll.change,
            (Condition(head_row_key, revision), Condition(record_key, ABSENT)),
            {head_row_key: content, record_key: content},
        )
        await settle.commit(self._table, transaction, record_key)

    async def _describe_winner(self, roll: RollRow) -> str:
        winner = await self.head()
        if winner is None:
            return "another roll came first"
        return f"version {winner.version} of {winner.operator} came first ({winner.bundle[:12]})"


__all__ = ["KeyPair", "Porcelain", "check_bundle", "load_key", "new_keys"]
