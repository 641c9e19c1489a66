# SPDX-License-Identifier: Apache-2.0
"""The requests under which targets ended, as one entry knows them and tells others."""

from collections.abc import Iterable

from ochreway_core.ids import Fingerprint, InstanceId, NodeId
from ochreway_core.messages import CrashNews
from ochreway_core.peer import Peer
from ochreway_nodes.outbox import Outbox
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_routing.crashverdict import CrashVerdict

REPEAT_S = 2.0
"""How often fatal requests are told again, should a word of them have been lost."""
REPEATED = 4
"""How many of them are told each time, those first that were asked for last."""
MET_SUSPECTS_S = 30.0
"""How old the suspects are at most that an entry is told of when it asks for all."""
TOLD_FROM = 2
"""From how many crashes on a line is written: after one all callers of a target are suspects."""


class Crashes:
    """Keep the book, and pass on what is news along the links that versions pass along.

    An entry's neighbours are those that it follows, those that follow it and, for one that reads
    the table, the readers of other halls. Each passes on only what it did not know, so a word
    takes as many hops as the tree is deep, and ends.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._book = CrashBook()
        self._outbox = outbox
        self._neighbours: tuple[Peer, ...] = ()
        self._asked_of: frozenset[NodeId] = frozenset()
        self._repeated_s = float("-inf")

    def set_neighbours(self, neighbours: Iterable[Peer]) -> None:
        """Tell these from now on, and ask those that are new what they know."""
        self._neighbours = tuple(dict.fromkeys(neighbours))
        for peer in self._neighbours:
            if peer.node not in self._asked_of:
                self._outbox.send(peer, CrashNews((), asks=True))
        self._asked_of = frozenset(peer.node for peer in self._neighbours)

    def asked(self, fingerprint: Fingerprint, now_s: float) -> CrashVerdict:
        """Note that a request is asked for; return whether it may be sent."""
        verdict = self._book.check_request(fingerprint, now_s)
        if verdict.on_trial:
            self._outbox.count("crash.on_trial")
            self._outbox.log("request_on_trial", fingerprint=fingerprint)
            self._tell([fingerprint], self._neighbours, now_s)
        return verdict

    def crashed(self, fingerprint: Fingerprint, target: InstanceId, now_s: float) -> None:
        """Note that a target ended under a request."""
        self._outbox.count("crash.under_request")
        if self._book.record_crash(fingerprint, target, now_s):
            self._note(fingerprint)
            self._tell([fingerprint], self._neighbours, now_s)

    def finished(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Note that a target ran a request to its end and goes on."""
        if self._book.record_completion(fingerprint, now_s):
            self._outbox.count("crash.cleared")
            self._tell([fingerprint], self._neighbours, now_s)

    def on_news(self, sender: Peer, news: CrashNews, now_s: float) -> None:
        """Take what another entry tells, pass on what is news, and answer if it asks."""
        found = [
            each.fingerprint for each in news.sightings if self._book.merge_sighting(each, now_s)
        ]
        for fingerprint in found:
            self._note(fingerprint)
        others = tuple(peer for peer in self._neighbours if peer.node != sender.node)
        self._tell(found, others, now_s)
        if news.asks:
            counting = [*self._book.suspects(now_s - MET_SUSPECTS_S), *self._book.fatal()]
            self._tell(counting, (sender,), now_s)

    def tick(self, now_s: float) -> None:
        """Tell of fatal requests again when that is due, and forget what is too old."""
        if now_s - self._repeated_s >= REPEAT_S:
            self._repeated_s = now_s
            self._book.expire(now_s)
            self._tell(self._book.fatal()[-REPEATED:], self._neighbours, now_s)

    def _tell(self, fingerprints: list[Fingerprint], peers: tuple[Peer, ...], now_s: float) -> None:
        if fingerprints:
            news = CrashNews(self._book.sightings(fingerprints, now_s))
            for peer in peers:
                self._outbox.send(peer, news)

    def _note(self, fingerprint: Fingerprint) -> None:
        """Write what is known of a request that several targets ended under."""
        crashes = self._book.crash_count(fingerprint)
        if crashes < TOLD_FROM:
            return
        fatal = crashes >= FATAL_CRASHES
        if fatal:
            self._outbox.count("crash.fatal")
        targets = ",".join(self._book.targets(fingerprint))
        event = "request_fatal" if fatal else "request_suspected"
        self._outbox.log(event, fingerprint=fingerprint, targets=targets)


__all__ = ["Crashes"]
