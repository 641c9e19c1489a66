# SPDX-License-Identifier: Apache-2.0
"""Process shell of an entry: performs the I/O of its node."""

import asyncio
from collections.abc import Coroutine

from ochreway_core.effects import (
    Deliver,
    FetchBody,
    Finish,
    Send,
    TableCommit,
    TableRead,
)
from ochreway_core.ids import BundleHash, NodeId, RequestId
from ochreway_core.messages import Cancel, Submit
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.request import Request
from ochreway_core.table import ReadReply
from ochreway_core.timing import Timing
from ochreway_daemon.callerstream import CallerStream
from ochreway_daemon.legacyrunner import LegacyRunner
from ochreway_daemon.settings import EntrySettings
from ochreway_daemon.shell import Shell
from ochreway_nodes.entry import EntryNode
from ochreway_nodes.entry.legacy import is_legacy
from ochreway_platform.errors import ListUnavailable, PlatformError, TableUnavailable
from ochreway_platform.instancelist import InstanceList
from ochreway_platform.objectstore import ObjectStore
from ochreway_platform.table import Table
from ochreway_runtime import steadyclock
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics


class EntryShell(Shell):
    """Access the platform and serve callers on behalf of the node."""

    def __init__(
        self,
        settings: EntrySettings,
        node: EntryNode,
        table: Table,
        objects: ObjectStore,
        instances: InstanceList,
        legacy: LegacyRunner,
        timing: Timing,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        me = Peer(NodeId(settings.name), settings.link_listen)
        super().__init__(settings, me, node, timing, log, metrics)
        self.node = node
        self._table = table
        self._objects = objects
        self._instances = instances
        self._legacy = legacy
        self._streams: dict[RequestId, CallerStream] = {}
        self._unanswered: set[CallerStream] = set()
        self._reading_list = False
        self.effects.update(
            {
                Send: self._send_or_run,
                TableRead: lambda effect: self._in_background(self._read(effect)),
                TableCommit: lambda effect: self._in_background(self._commit(effect)),
                FetchBody: lambda effect: self._in_background(self._fetch_body(effect.bundle)),
                Deliver: self._deliver,
                Finish: self._finish,
            }
        )

    async def start(self) -> None:
        """Start the shell and the polling of the platform's list."""
        await super().start()
        self.timer.every(self.timing.list_poll_s, lambda _: self._poll_list())

    def _in_background(self, work: Coroutine[None, None, None]) -> None:
        self.spawn(work)

    def on_link_down(self, node: NodeId) -> None:
        """Notify the node, which settles the attempts in flight on the link."""
        self.post(lambda now_s: self.node.on_link_down(node, now_s))

    # The platform

    async def _read(self, effect: TableRead) -> None:
        try:
            reply = ReadReply(await self._table.read(effect.prefixes))
        except TableUnavailable:
            reply = ReadReply(None)
        self.post(lambda now_s: self.node.on_read(effect.use, effect.call, reply, now_s))

    async def _commit(self, effect: TableCommit) -> None:
        reply = await self._table.commit(effect.transaction)
        self.post(lambda now_s: self.node.on_commit(effect.call, reply, now_s))

    async def _fetch_body(self, bundle: BundleHash) -> None:
        try:
            body = await self._objects.get(f"bundles/{bundle}")
        except PlatformError:
            body = None
        self.post(lambda now_s: self.node.on_body(bundle, body, now_s))

    def _poll_list(self) -> None:
        if self.node.keeper.reads_list and not self._reading_list:
            self._reading_list = True
            self.spawn(self._read_list())

    async def _read_list(self) -> None:
        try:
            instances = await self._instances.read()
            self.post(lambda now_s: self.node.on_listing(instances, now_s))
        except ListUnavailable:
            self.metrics.count("list.unavailable")
        finally:
            self._reading_list = False

    # Callers

    def begin_request(self, request: Request) -> CallerStream:
        """Begin a request and return the stream of its answer."""
        stream = CallerStream(request.request, steadyclock.now_s())
        self._streams[request.request] = stream
        self._unanswered.add(stream)
        self.post(lambda now_s: self.node.on_request(request, now_s))
        return stream

    def end_answer(self, stream: CallerStream) -> None:
        """Record that the handler of a request has ended."""
        self._unanswered.discard(stream)

    def on_answer_cut(self, request: RequestId) -> None:
        """Log that a caller does not get the whole answer, and cancel its request."""
        reason = Reason.STOPPING if self.node.stopping else Reason.CALLER_GONE
        self.log.loss("broken", request=request, reason=reason.value)
        self.cancel_request(request)

    def cancel_request(self, request: RequestId) -> None:
        """Cancel a request whose caller has disconnected."""
        self.post(lambda _: self.node.on_caller_gone(request))

    def report_delivered(self, request: RequestId, delivered_bytes: int) -> None:
        """Report to the node how many bytes of an answer the caller has received."""
        self.post(lambda _: self.node.on_passed(request, delivered_bytes))

    def _deliver(self, effect: Deliver) -> None:
        stream = self._streams.get(effect.request)
        if stream is not None:
            if stream.first_s is None:
                stream.first_s = steadyclock.now_s()
                self.metrics.timing("first_token", stream.first_s - stream.began_s)
            stream.put(effect)

    def _finish(self, effect: Finish) -> None:
        stream = self._streams.pop(effect.request, None)
        if stream is None:
            return
        stream.put(effect)
        took_s = steadyclock.now_s() - stream.began_s
        self.metrics.timing("total", took_s)
        self.log.event(
            "request_ended",
            request=effect.request,
            outcome=effect.outcome.value,
            reason=effect.reason.value,
            took_s=f"{took_s:.4f}",
        )

    # Legacy targets, which the operators' old tools still run

    def _send_or_run(self, effect: Send) -> None:
        if not is_legacy(effect.peer):
            self.links.send(effect.peer, effect.message)
        elif isinstance(effect.message, Submit):
            self._run_legacy(effect.peer, effect.message)
        elif isinstance(effect.message, Cancel):
            self._legacy.cancel(effect.message.attempt)

    def _run_legacy(self, peer: Peer, submit: Submit) -> None:
        def answer(message: object) -> None:
            version = self.node.version
            self.post(lambda now_s: self.node.on_message(peer, version, message, now_s))

        self._legacy.start(self.spawn(self._legacy.run(peer.address, submit, answer)), submit)

    # Planned stop

    async def drain(self) -> bool:
        """Release leases and wait for requests to end; return False on timeout."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.settings.drain_timeout_s
        self.post(self.node.stop)
        while loop.time() < end_s:
            await asyncio.sleep(self.timing.tick_s)
            if self.node.may_stop() and not self._streams and not self._unanswered:
                return True
        return False


__all__ = ["EntryShell"]
