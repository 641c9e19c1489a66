# SPDX-License-Identifier: Apache-2.0
"""Passing on among entries under which requests targets ended."""

import asyncio

from ochreway_core.crashnews import CrashNews
from ochreway_core.ids import Fingerprint
from ochreway_core.peer import Peer
from ochreway_direct.crashes.crashwatch import CrashWatch
from ochreway_direct.entries.heartbeats import Heartbeats
from ochreway_routing.crashbook import CrashBook
from ochreway_wire.links import Links

SUSPECT_MAX_AGE_S = 30.0
"""How old the suspects are at most that an entry is told of when a link to it begins.

Callers who were under way at a crash have come back or given up by then; fatal requests are told
whatever their age.
"""
MAX_SIGHTINGS_PER_MESSAGE = 500
"""How many requests one message tells of: some 60 KB."""
REPEATED_PER_HEARTBEAT = 4
"""How many fatal requests are told again with each heartbeat, in turn.

So an entry that missed a word for any reason learns of a fatal request within seconds, and of when
it was last asked for elsewhere.
"""


class CrashSpread:
    """Tell other entries at once, and all that counts to each with which a link begins.

    Entries tell those that they exchange heartbeats with. Among many, heads pass on what is news:
    a member's to all heads and their own members, another head's to their own members.
    """

    def __init__(
        self, book: CrashBook, watch: CrashWatch, heartbeats: Heartbeats, links: Links
    ) -> None:
        self._book = book
        self._watch = watch
        self._heartbeats = heartbeats
        self._links = links
        self._loop = asyncio.get_running_loop()
        self._pending: dict[Fingerprint, None] = {}
        watch.add_listener(self.announce)

    def announce(self, fingerprints: list[Fingerprint]) -> None:
        """Tell of some requests soon: all callers of a lost target break off in one moment."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.update(dict.fromkeys(fingerprints))

    def _flush(self) -> None:
        pending, self._pending = list(self._pending), {}
        self._send(pending, self._heartbeats.contacts())

    def on_linked(self, peer: Peer) -> None:
        """Tell an entry with which a link has just begun what counts."""
        now_s = self._loop.time()
        relevant = [*self._book.suspects(now_s - SUSPECT_MAX_AGE_S), *self._book.fatal()]
        self._send(relevant, [peer])

    def announce_again(self, now_s: float) -> None:
        """Tell of some fatal requests again, and forget what is too old."""
        self._book.expire(now_s)
        fatal = self._book.fatal()
        begin = int(now_s * 1000) % len(fatal) if len(fatal) > REPEATED_PER_HEARTBEAT else 0
        chosen = (fatal + fatal)[begin : begin + min(REPEATED_PER_HEARTBEAT, len(fatal))]
        self._send(chosen, self._heartbeats.contacts())

    def on_news(self, sender: Peer, news: CrashNews) -> None:
        """Take what another entry tells, and pass on what is news."""
        new_fingerprints = self._watch.on_sightings(news.sightings, self._loop.time())
        if new_fingerprints:
            receivers = self._heartbeats.forwarding_peers(sender.node)
            self._send(new_fingerprints, [peer for peer in receivers if peer.node != sender.node])

    def _send(self, fingerprints: list[Fingerprint], peers: list[Peer]) -> None:
        for begin in range(0, len(fingerprints), MAX_SIGHTINGS_PER_MESSAGE):
            batch = fingerprints[begin : begin + MAX_SIGHTINGS_PER_MESSAGE]
            sightings = self._book.sightings(batch, self._loop.time())
            self._links.send_all(peers, CrashNews(sightings))


__all__ = ["CrashSpread"]
