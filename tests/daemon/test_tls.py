# SPDX-License-Identifier: Apache-2.0
import asyncio
import datetime
import ipaddress
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import testtools
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.x509.oid import NameOID

from ochreway_core.ids import GroupId, NodeId, Version
from ochreway_core.messages import Follow
from ochreway_core.peer import Peer
from ochreway_daemon.tls import client_context, server_context
from ochreway_standins.site import free_port
from ochreway_wire.links import Links, LinkSettings

NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
NOT_AFTER = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)


class Authority:
    """Issue certificates and write them to a folder."""

    def __init__(self, name: str) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="ochreway-tls-"))
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = Ed25519PrivateKey.generate()
        self.certificate = self._write("authority.pem", self._issue(self._name, self._key, True))

    def _issue(self, name: x509.Name, key: Ed25519PrivateKey, authority: bool) -> x509.Certificate:
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOT_BEFORE)
            .not_valid_after(NOT_AFTER)
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        )
        return builder.sign(self._key, None)

    def _write(self, name: str, certificate: x509.Certificate) -> str:
        path = self.folder / name
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return str(path)

    def settings(self, node: str, trusted: str) -> Any:
        key = Ed25519PrivateKey.generate()
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, node)])
        key_path = self.folder / f"{node}.key"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return SimpleNamespace(
            tls_certificate=self._write(f"{node}.pem", self._issue(name, key, False)),
            tls_key=str(key_path),
            tls_authority=trusted,
        )


class TlsTests(testtools.TestCase):
    def exchange_message(self, one: Any, other: Any) -> tuple[int, list[str]]:
        received: list[object] = []
        down: list[str] = []

        async def run() -> None:
            ends = []
            for name, settings in (("one", one), ("other", other)):
                port = free_port()
                peer = Peer(NodeId(name), f"127.0.0.1:{port}")
                links = Links(
                    peer,
                    LinkSettings(
                        b"k" * 16, 0.001, server_context(settings), client_context(settings)
                    ),
                    lambda: Version(1),
                    lambda sender, batch: received.extend(batch.messages),
                    down.append,
                )
                await links.listen("127.0.0.1", port)
                ends.append((peer, links))
            ends[0][1].send(ends[1][0], Follow(GroupId("g")))
            async with asyncio.timeout(10.0):
                while not received and not down:
                    await asyncio.sleep(0.01)
            for _, links in ends:
                await links.close()

        asyncio.run(run())
        return len(received), down[:1]

    def test_two_ends_of_one_authority(self) -> None:
        authority = Authority("one")
        ends = [authority.settings(name, authority.certificate) for name in ("a", "b")]
        self.assertEqual(1, self.exchange_message(*ends)[0])

    def test_certificate_of_another_authority_is_refused(self) -> None:
        authority, stranger = Authority("one"), Authority("two")
        good = authority.settings("a", authority.certificate)
        bad = stranger.settings("b", stranger.certificate)
        self.assertEqual((0, ["other"]), self.exchange_message(good, bad))
