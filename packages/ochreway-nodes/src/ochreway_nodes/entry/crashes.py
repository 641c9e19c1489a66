# SPDX-License-Identifier: Apache-2.0
"""Requests that crashed targets, as one entry knows them and propagates them to others."""

from collections.abc import Iterable

from ochreway_core.ids import Fingerprint, InstanceId, NodeId
from ochreway_core.messages import CrashNews
from ochreway_core.peer import Peer
from ochreway_nodes.outbox import Outbox
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES
from ochreway_routing.crashverdict import CrashVerdict

REPEAT_INTERVAL_S = 2.0
"""Interval at which fatal requests are sent again, in case a message was lost."""
MAX_REPEATED = 4
"""Bound on the fatal requests sent each time; the most recently requested ones are sent."""
SUSPECTS_MAX_AGE_S = 30.0
"""Maximum age of the suspects sent to an entry that asks for everything known."""
MIN_LOGGED_CRASHES = 2
"""Crashes from which a request is logged: after one, all requests on the target are suspects."""


class Crashes:
    """Keep the crash book, and propagate new sightings to the neighbours.

    An entry's neighbours are the entries that it follows, those that follow it and, if it reads the
    table, the readers of other halls. An entry forwards only what it did not know, so a sighting
    travels as many hops as the tree is deep, and propagation ends.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._book = CrashBook()
        self._outbox = outbox
        self._neighbours: tuple[Peer, ...] = ()
        self._queried: frozenset[NodeId] = frozenset()
        self._last_repeat_s = float("-inf")

    def set_neighbours(self, neighbours: Iterable[Peer]) -> None:
        """Set the neighbours, and ask new ones for everything they know."""
        self._neighbours = tuple(dict.fromkeys(neighbours))
        for peer in self._neighbours:
            if peer.node not in self._queried:
                self._outbox.send(peer, CrashNews((), asks=True))
        self._queried = frozenset(peer.node for peer in self._neighbours)

    def on_request(self, fingerprint: Fingerprint, now_s: float) -> CrashVerdict:
        """Record that a request was made, and return whether it may be sent."""
        verdict = self._book.check_request(fingerprint, now_s)
        if verdict.on_trial:
            self._outbox.count("crash.on_trial")
            self._outbox.log("request_on_trial", fingerprint=fingerprint)
            self._send_sightings([fingerprint], self._neighbours, now_s)
        return verdict

    def on_crash(self, fingerprint: Fingerprint, target: InstanceId, now_s: float) -> None:
        """Record that a target's process ended while running a request."""
        self._outbox.count("crash.under_request")
        if self._book.record_crash(fingerprint, target, now_s):
            self._log_crashes(fingerprint)
            self._send_sightings([fingerprint], self._neighbours, now_s)

    def on_completion(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record that a target completed a request and keeps running."""
        if self._book.record_completion(fingerprint, now_s):
            self._outbox.count("crash.cleared")
            self._send_sightings([fingerprint], self._neighbours, now_s)

    def on_news(self, sender: Peer, news: CrashNews, now_s: float) -> None:
        """Apply another entry's sightings, forward the new ones, and reply if it asks."""
        updated = [
            sighting.fingerprint
            for sighting in news.sightings
            if self._book.merge_sighting(sighting, now_s)
        ]
        for fingerprint in updated:
            self._log_crashes(fingerprint)
        others = tuple(peer for peer in self._neighbours if peer.node != sender.node)
        self._send_sightings(updated, others, now_s)
        if news.asks:
            relevant = [*self._book.suspects(now_s - SUSPECTS_MAX_AGE_S), *self._book.fatal()]
            self._send_sightings(relevant, (sender,), now_s)

    def tick(self, now_s: float) -> None:
        """Send fatal requests again when due, and expire old records."""
        if now_s - self._last_repeat_s >= REPEAT_INTERVAL_S:
            self._last_repeat_s = now_s
            self._book.expire(now_s)
            self._send_sightings(self._book.fatal()[-MAX_REPEATED:], self._neighbours, now_s)

    def _send_sightings(
        self, fingerprints: list[Fingerprint], peers: tuple[Peer, ...], now_s: float
    ) -> None:
        if fingerprints:
            news = CrashNews(self._book.sightings(fingerprints, now_s))
            for peer in peers:
                self._outbox.send(peer, news)

    def _log_crashes(self, fingerprint: Fingerprint) -> None:
        """Log a request that has crashed several targets."""
        crashes = self._book.crash_count(fingerprint)
        if crashes < MIN_LOGGED_CRASHES:
            return
        fatal = crashes >= FATAL_CRASHES
        if fatal:
            self._outbox.count("crash.fatal")
        targets = ",".join(self._book.targets(fingerprint))
        event = "request_fatal" if fatal else "request_suspected"
        self._outbox.log(event, fingerprint=fingerprint, targets=targets)


__all__ = ["Crashes"]
