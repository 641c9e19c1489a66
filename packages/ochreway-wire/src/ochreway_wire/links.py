# SPDX-License-Identifier: Apache-2.0
"""All links of one process, accepted and dialled: one per peer."""

import asyncio
import contextlib
import socket as socketlib
import ssl
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidMessage

from ochreway_core.ids import NodeId, Version
from ochreway_core.peer import Peer
from ochreway_runtime.clients.socketbuffers import listening_socket
from ochreway_wire.batch import MAX_BATCH_BYTES, Batch, PreparedMessage
from ochreway_wire.errors import HandshakeRefused
from ochreway_wire.handshake import (
    compute_proof,
    decode_hello,
    encode_hello,
    new_hello,
    verify_proof,
)
from ochreway_wire.link import Link
from ochreway_wire.unproven import LinkConnection, UnprovenConnections

HANDSHAKE_TIMEOUT_S = 2.0
ACK_TIMEOUT_MS = 4000
"""Bounds how long sent data may stay unacknowledged before the kernel closes the connection.

Unlike pings, it costs nothing while a link is idle. It does not detect a stopped process whose
kernel still acknowledges data; the heartbeats and reports of the layers above do.
"""
BACKLOG = 128
BUFFER_BYTES = 128 * 1024
"""Buffers of an accepted link: some MB/s over the longest distances between halls."""
MAX_QUEUED_WHILE_DIALLING = 1024
"""Bounds the messages queued for one peer while it is dialled; further ones are dropped."""
UNKNOWN_NODE = NodeId("")
"""Placeholder for a peer whose name is not known until its hello is received."""

BatchHandler = Callable[[Peer, Batch], None]
LinkDownHandler = Callable[[NodeId], None]
LinkUpHandler = Callable[[Peer], None]
ErrorHandler = Callable[[str, BaseException], None]


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings shared by all links of a process.

    Compression is worthwhile where messages are repetitive and traffic between halls is expensive.
    It needs about 64 KB of memory per link, so processes with many links leave it off. It is used
    only if both ends enable it.
    """

    key: bytes
    tick_s: float = 0.001
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    compressed: bool = False

    @property
    def compression(self) -> str | None:
        """Return the name of the compression to offer and accept, if any."""
        return "deflate" if self.compressed else None


class Links:
    """Own all links; queue messages for a peer without a link while it is dialled."""

    def __init__(
        self,
        me: Peer,
        settings: LinkSettings,
        version: Callable[[], Version],
        on_batch: BatchHandler,
        on_down: LinkDownHandler,
        on_up: LinkUpHandler | None = None,
        on_error: ErrorHandler | None = None,
        on_unproven: Callable[[], None] = lambda: None,
    ) -> None:
        """Start without links; ``on_error`` is called with each error that ends a task.

        ``on_unproven`` is called with each connection that is aborted as there are too many whose
        peer is not known.
        """
        self._me = me
        self._settings = settings
        self._version = version
        self._on_batch = on_batch
        self._on_down = on_down
        self._on_up = on_up
        self._on_error = on_error or (lambda name, error: None)
        self._links: dict[NodeId, Link] = {}
        self._queued_while_dialling: dict[NodeId, list[object]] = {}
        self._addresses_dialling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self._unproven = UnprovenConnections(on_unproven)

    def __len__(self) -> int:
        return len(self._links)

    async def listen(self, host: str, port: int) -> int:
        """Accept links; return the port, which is a free one if ``port`` is 0."""
        connection: Any = partial(LinkConnection, self._unproven)
        self._server = await serve(
            self._accept,
            sock=listening_socket(host, port, BACKLOG, BUFFER_BYTES),
            create_connection=connection,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            ssl=self._settings.server_tls,
            max_size=MAX_BATCH_BYTES,
            compression=self._settings.compression,
            ping_interval=None,
        )
        bound_port: int = next(iter(self._server.sockets)).getsockname()[1]
        return bound_port

    def send(self, peer: Peer, message: object) -> None:
        """Send a message; dial the peer if there is no link."""
        link = self._links.get(peer.node)
        if link is not None:
            link.send(message)
            return
        queued = self._queued_while_dialling.get(peer.node)
        if queued is None:
            self._queued_while_dialling[peer.node] = [message]
            self._spawn(self._dial(peer))
        elif len(queued) < MAX_QUEUED_WHILE_DIALLING:
            queued.append(message)

    def send_all(self, peers: Iterable[Peer], message: object) -> None:
        """Send the same message to several peers; encode its fields once."""
        prepared = PreparedMessage(message)
        for peer in peers:
            self.send(peer, prepared)

    def drop(self, node: NodeId) -> None:
        """Abort the link to a node; the next message dials it again."""
        link = self._links.get(node)
        if link is not None:
            link.abort()

    def dial_address(self, address: str) -> None:
        """Dial a process whose name is not known, unless its address is being dialled already."""
        if address not in self._addresses_dialling:
            self._addresses_dialling.add(address)
            self._spawn(self._dial_address(address))

    async def _dial_address(self, address: str) -> None:
        try:
            await self._dial(Peer(UNKNOWN_NODE, address))
        finally:
            self._addresses_dialling.discard(address)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._on_error("link", error)

    async def _dial(self, peer: Peer) -> None:
        scheme = "wss" if self._settings.client_tls else "ws"
        try:
            async with connect(
                f"{scheme}://{peer.address}/",
                ssl=self._settings.client_tls,
                max_size=MAX_BATCH_BYTES,
                compression=self._settings.compression,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                ping_interval=None,
                proxy=None,
            ) as socket:
                remote = await self._perform_handshake(socket, dialled=True)
                if peer.node not in (remote.node, UNKNOWN_NODE):
                    raise HandshakeRefused(f"{peer.address} is {remote.node}, not {peer.node}")
                await self._run_link(socket, remote)
        except (TimeoutError, OSError, HandshakeRefused, ConnectionClosed):
            self._on_dial_failed(peer.node)
        except (InvalidHandshake, InvalidMessage):
            self._on_dial_failed(peer.node)

    def _on_dial_failed(self, node: NodeId) -> None:
        if self._queued_while_dialling.pop(node, None) is not None:
            self._on_down(node)

    async def _accept(self, socket: ServerConnection) -> None:
        try:
            peer = await self._perform_handshake(socket, dialled=False)
            if isinstance(socket, LinkConnection):
                self._unproven.discard(socket)
            await self._run_link(socket, peer)
        except (TimeoutError, HandshakeRefused, ConnectionClosed):
            return
        except Exception as error:
            self._on_error("link", error)

    async def _perform_handshake(self, socket: Connection, dialled: bool) -> Peer:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            own_hello = encode_hello(new_hello(self._me))
            await socket.send(own_hello)
            remote_hello = await _receive_bytes(socket)
            hello = decode_hello(remote_hello)
            key = self._settings.key
            await socket.send(compute_proof(key, own_hello, remote_hello))
            verify_proof(key, remote_hello, own_hello, await _receive_bytes(socket))
            return hello.peer

    async def _run_link(self, socket: Connection, peer: Peer) -> None:
        _set_ack_timeout(socket)
        link = Link(socket, peer, self._version, self._settings.tick_s, self._on_error)
        self._links[peer.node] = link
        for message in self._queued_while_dialling.pop(peer.node, ()):
            link.send(message)
        if self._on_up is not None:
            self._on_up(peer)
        writer = asyncio.create_task(link.run_writer())
        writer.add_done_callback(lambda task: None if task.cancelled() else link.abort())
        try:
            await link.run_reader(self._on_batch)
        finally:
            writer.cancel()
            if self._links.get(peer.node) is link:
                del self._links[peer.node]
                self._on_down(peer.node)

    async def close(self) -> None:
        """Close all links and stop accepting new ones."""
        await asyncio.gather(*(link.close() for link in list(self._links.values())))
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for task in list(self._tasks):
            task.cancel()


def _set_ack_timeout(socket: Connection) -> None:
    raw_socket: socketlib.socket = socket.transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(socketlib.IPPROTO_TCP, socketlib.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS)


async def _receive_bytes(socket: Connection) -> bytes:
    content = await socket.recv()
    if not isinstance(content, bytes):
        raise HandshakeRefused("received a text message instead of a binary one")
    return content


__all__ = ["LinkSettings", "Links"]
