# SPDX-License-Identifier: Apache-2.0
"""Propagation among entries of what ended targets."""

import asyncio

from ochreway_core.crashnews import CrashNews
from ochreway_core.ids import CauseId
from ochreway_core.peer import Peer
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.entries.heartbeats import Heartbeats
from ochreway_routing.crashbook import CrashBook
from ochreway_wire.links import Links

SUSPECT_MAX_AGE_S = 30.0
"""Age of the oldest suspects that are announced to an entry when a link to it opens.

By then callers whose requests were under way at a crash have retried or given up. Fatal causes are
announced whatever their age.
"""
MAX_SIGHTINGS_PER_MESSAGE = 500
"""Causes per message: some 60 KB."""
REPEATED_PER_HEARTBEAT = 4
"""Fatal causes that are announced again with each heartbeat, in rotation.

So an entry that missed a message for any reason learns within seconds of a fatal cause, and of when
it was last received by other entries.
"""


class CrashSpread:
    """Announce crashes to other entries at once, and all relevant ones on each new link.

    Entries send to those with which they exchange heartbeats. In large fleets, heads forward what
    is new to them: from a member to all heads and to their own members, from another head to their
    own members.
    """

    def __init__(
        self, book: CrashBook, watch: CrashWatch, heartbeats: Heartbeats, links: Links
    ) -> None:
        self._book = book
        self._watch = watch
        self._heartbeats = heartbeats
        self._links = links
        self._loop = asyncio.get_running_loop()
        self._pending: dict[CauseId, None] = {}
        watch.add_listener(self.announce)

    def announce(self, causes: list[CauseId]) -> None:
        """Schedule an announcement, batched as all calls to a lost target break off at once."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.update(dict.fromkeys(causes))

    def _flush(self) -> None:
        pending, self._pending = list(self._pending), {}
        self._send(pending, self._heartbeats.contacts())

    def on_linked(self, peer: Peer) -> None:
        """Send the relevant suspects and all fatal causes to an entry on a new link."""
        now_s = self._loop.time()
        relevant = [*self._book.suspects(now_s - SUSPECT_MAX_AGE_S), *self._book.fatal()]
        self._send(relevant, [peer])

    def announce_again(self, now_s: float) -> None:
        """Announce some fatal causes again, and drop expired records."""
        self._book.expire(now_s)
        fatal = self._book.fatal()
        begin = int(now_s * 1000) % len(fatal) if len(fatal) > REPEATED_PER_HEARTBEAT else 0
        chosen = (fatal + fatal)[begin : begin + min(REPEATED_PER_HEARTBEAT, len(fatal))]
        self._send(chosen, self._heartbeats.contacts())

    def on_news(self, sender: Peer, news: CrashNews) -> None:
        """Apply an announcement of another entry, and forward what is new."""
        new_causes = self._watch.on_sightings(news.sightings, self._loop.time())
        if new_causes:
            receivers = self._heartbeats.forwarding_peers(sender.node)
            self._send(new_causes, [peer for peer in receivers if peer.node != sender.node])

    def _send(self, causes: list[CauseId], peers: list[Peer]) -> None:
        for begin in range(0, len(causes), MAX_SIGHTINGS_PER_MESSAGE):
            batch = causes[begin : begin + MAX_SIGHTINGS_PER_MESSAGE]
            sightings = self._book.sightings(batch, self._loop.time())
            self._links.send_all(peers, CrashNews(sightings))


__all__ = ["CrashSpread"]
