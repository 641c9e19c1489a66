# SPDX-License-Identifier: Apache-2.0
"""The configuration in force at a process."""

import zlib
from collections import OrderedDict
from dataclasses import dataclass

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from result import Err, Ok, Result

from ochreway_core import invariants
from ochreway_core.bundle import Bundle, bundle_hash, parse_bundle
from ochreway_core.errors import SignatureInvalid
from ochreway_core.ids import NO_VERSION, BundleHash, NodeId, Version
from ochreway_core.rendezvous import rank
from ochreway_core.rows import RollRow
from ochreway_core.signoff import Approval, verify

MAX_KEEPERS = 64
"""Bound on the nodes that keep callers' keys under one version."""
HOMES_PER_KEY = 3
"""How many of the keepers vote on a key."""
MAX_BODIES = 3
"""Bound on the recent bundles' bodies kept."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bound on a decompressed bundle."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold everything that a process needs to apply one accepted version."""

    roll: RollRow
    packed: bytes
    approvals: tuple[Approval, ...]

    @property
    def body(self) -> bytes:
        """Return the bundle's TOML, cut off at the bound on a bundle's size."""
        return zlib.decompressobj().decompress(self.packed, MAX_BODY_BYTES)


def make_snapshot(roll: RollRow, body: bytes, approvals: tuple[Approval, ...]) -> Snapshot:
    """Return a snapshot with the compressed body."""
    return Snapshot(roll, zlib.compress(body, 9), approvals)


@dataclass(slots=True)
class _FormerKeepers:
    keepers: tuple[NodeId, ...]
    superseded_s: float


class View:
    """Apply accepted versions, each verified and never a lower one than before."""

    def __init__(self, operator_keys: dict[str, Ed25519PublicKey], key_memory_s: float) -> None:
        self._operator_keys = operator_keys
        self._key_memory_s = key_memory_s
        self._former: list[_FormerKeepers] = []
        self._bodies: OrderedDict[BundleHash, bytes] = OrderedDict()
        self.snapshot: Snapshot | None = None
        self.bundle: Bundle | None = None
        self.keepers: tuple[NodeId, ...] = ()

    @property
    def version(self) -> Version:
        """Return the version in force here, or 0 before the first."""
        return self.snapshot.roll.version if self.snapshot else NO_VERSION

    def apply(self, snapshot: Snapshot, now_s: float) -> Result[bool, str]:
        """Put a newer version in force; return whether anything changed.

        A lower or equal version is ignored, as messages may arrive late.
        """
        if snapshot.roll.version <= self.version:
            return Ok(False)
        checked = self._check(snapshot)
        if checked.is_err():
            return Err(checked.unwrap_err())
        invariants.version_moves_forward(self.version, snapshot.roll.version)
        self._record_former(snapshot.roll.former, now_s)
        self.snapshot = snapshot
        self._keep_body(snapshot)
        self.bundle = checked.unwrap()
        self.keepers = key_keepers(self.bundle)
        return Ok(True)

    def _keep_body(self, snapshot: Snapshot) -> None:
        self._bodies[snapshot.roll.bundle] = snapshot.body
        self._bodies.move_to_end(snapshot.roll.bundle)
        while len(self._bodies) > MAX_BODIES:
            self._bodies.popitem(last=False)

    def body_of(self, bundle: BundleHash) -> bytes | None:
        """Return the body of a bundle that was recently in force here, or ``None``."""
        return self._bodies.get(bundle)

    def _check(self, snapshot: Snapshot) -> Result[Bundle, str]:
        try:
            body = snapshot.body
        except zlib.error as exc:
            return Err(f"the body cannot be decompressed: {exc}")
        digest = bundle_hash(body)
        if digest != snapshot.roll.bundle:
            return Err("the body is not the one that was rolled")
        faults: list[str] = []
        for approval in snapshot.approvals:
            try:
                verify(approval, digest, self._operator_keys)
            except SignatureInvalid as exc:
                faults.append(str(exc))
                continue
            if approval.author == snapshot.roll.author:
                return parse_bundle(body).map_err("; ".join)
            faults.append("the approval names another author")
        return Err("no valid approval: " + ("; ".join(faults) or "none given"))

    def _record_former(self, listed: tuple[tuple[NodeId, ...], ...], now_s: float) -> None:
        oldest_s = now_s - self._key_memory_s
        self._former = [item for item in self._former if item.superseded_s > oldest_s]
        known = {item.keepers for item in self._former}
        superseded = {self.keepers, *listed} - known - {()}
        self._former.extend(_FormerKeepers(keepers, now_s) for keepers in sorted(superseded))

    def homes(self, key: str, now_s: float) -> list[frozenset[NodeId]]:
        """Return the sets of nodes; a claim on the key needs a majority in each.

        The sets of versions superseded within the key memory count too, so that a claim made
        under one version is seen under the next.
        """
        recent = [
            item.keepers for item in self._former if now_s - item.superseded_s < self._key_memory_s
        ]
        sets = [frozenset(rank(key, each)[:HOMES_PER_KEY]) for each in (self.keepers, *recent)]
        return list(dict.fromkeys(item for item in sets if item))


def key_keepers(bundle: Bundle) -> tuple[NodeId, ...]:
    """Return the nodes that keep callers' keys under a bundle."""
    names = [NodeId(name) for name in bundle.instance_names()]
    return tuple(rank("keepers", names)[:MAX_KEEPERS])


__all__ = ["HOMES_PER_KEY", "MAX_KEEPERS", "Snapshot", "View", "key_keepers", "make_snapshot"]
