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

MET_SUSPECTS_S = 30.0
"""How old the suspects are at most that an entry is told of when a link to it begins.

Callers who were under way at a crash have come back or given up by then; fatal requests are told
whatever their age.
"""
TOLD_AT_ONCE = 500
"""How many requests one message tells of: some 60 KB."""
REPEATED = 4
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
        self._waiting: dict[Fingerprint, None] = {}
        watch.listen(self.tell)

    def tell(self, fingerprints: list[Fingerprint]) -> None:
        """Tell of some requests soon: all callers of a lost target break off in one moment."""
        if not self._waiting:
            self._loop.call_soon(self._flush)
        self._waiting.update(dict.fromkeys(fingerprints))

    def _flush(self) -> None:
        waiting, self._waiting = list(self._waiting), {}
        self._send(waiting, self._heartbeats.contacts())

    def met(self, peer: Peer) -> None:
        """Tell an entry with which a link has just begun what counts."""
        now_s = self._loop.time()
        counting = [*self._book.suspects(now_s - MET_SUSPECTS_S), *self._book.fatal()]
        self._send(counting, [peer])

    def repeat(self, now_s: float) -> None:
        """Tell of some fatal requests again, and forget what is too old."""
        self._book.expire(now_s)
        fatal = self._book.fatal()
        begin = int(now_s * 1000) % len(fatal) if len(fatal) > REPEATED else 0
        chosen = (fatal + fatal)[begin : begin + min(REPEATED, len(fatal))]
        self._send(chosen, self._heartbeats.contacts())

    def on_news(self, sender: Peer, news: CrashNews) -> None:
        """Take what another entry tells, and pass on what is news."""
        found = self._watch.hear(news.sightings, self._loop.time())
        if found:
            audience = self._heartbeats.forwarding_peers(sender.node)
            self._send(found, [peer for peer in audience if peer.node != sender.node])

    def _send(self, fingerprints: list[Fingerprint], peers: list[Peer]) -> None:
        for begin in range(0, len(fingerprints), TOLD_AT_ONCE):
            some = fingerprints[begin : begin + TOLD_AT_ONCE]
            sightings = self._book.sightings(some, self._loop.time())
            self._links.send_all(peers, CrashNews(sightings))


__all__ = ["CrashSpread"]
