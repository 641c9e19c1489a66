# SPDX-License-Identifier: Apache-2.0
"""What crashed targets, as one entry knows it and propagates it to others."""

from collections.abc import Iterable

from ochreway_core.cause import is_part
from ochreway_core.ids import CauseId, InstanceId, NodeId
from ochreway_core.messages import CrashNews
from ochreway_core.peer import Peer
from ochreway_nodes.outbox import Outbox
from ochreway_routing.crashbook import CrashBook
from ochreway_routing.crashverdict import CrashVerdict

REPEAT_INTERVAL_S = 2.0
"""Interval at which fatal causes are sent again, in case a message was lost."""
MAX_REPEATED = 4
"""Bound on the fatal causes sent each time; the most recently requested ones are sent."""
SUSPECTS_MAX_AGE_S = 30.0
"""Maximum age of the suspects sent to an entry that asks for everything known."""
MIN_LOGGED_CRASHES = 2
"""Crashes from which a cause is logged: after one, all requests on the target are suspects."""


class Crashes:
    """Keep the crash book, and propagate new sightings to the neighbours.

    An entry's neighbours are the entries that it follows, those that follow it and, if it reads the
    table, the readers of other halls. An entry forwards only what it did not know, so a sighting
    travels as many hops as the tree is deep, and propagation ends.
    """

    def __init__(self, me: NodeId, outbox: Outbox) -> None:
        self._book = CrashBook(owner=me)
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

    def on_request(
        self, causes: tuple[CauseId, ...], now_s: float, is_sent_now: bool = True
    ) -> CrashVerdict:
        """Record that a request was made, and return whether it may be sent."""
        verdict = self._book.check_request(causes, now_s, is_sent_now)
        if verdict.on_trial:
            self._outbox.count("crash.on_trial")
            self._outbox.log("request_on_trial", fingerprint=causes[0], cause=verdict.cause)
            self._send_sightings(list(causes), self._neighbours, now_s)
        return verdict

    def on_crash(
        self, causes: tuple[CauseId, ...], target: InstanceId, under_trial: bool, now_s: float
    ) -> None:
        """Record that a target's process ended while running a request, maybe one on trial."""
        self._outbox.count("crash.under_request")
        updated = [
            each for each in causes if self._book.record_crash(each, target, now_s, under_trial)
        ]
        self._log_crashes(updated)
        self._send_sightings(updated, self._neighbours, now_s)

    def on_completion(self, causes: tuple[CauseId, ...], run_s: float, now_s: float) -> None:
        """Record that a target completed a request, whose run began then, and keeps running."""
        cleared = [each for each in causes if self._book.record_completion(each, run_s)]
        if cleared:
            self._outbox.count("crash.cleared")
            self._send_sightings(cleared, self._neighbours, now_s)

    def on_news(self, sender: Peer, news: CrashNews, now_s: float) -> None:
        """Apply another entry's sightings, forward the new ones, and reply if it asks."""
        updated = [
            sighting.cause
            for sighting in news.sightings
            if self._book.merge_sighting(sighting, now_s)
        ]
        self._log_crashes(updated)
        others = tuple(peer for peer in self._neighbours if peer.node != sender.node)
        self._send_sightings(updated, others, now_s)
        if news.asks:
            relevant = [*self._book.suspects(now_s - SUSPECTS_MAX_AGE_S), *self._book.fatal()]
            self._send_sightings(relevant, (sender,), now_s)

    def tick(self, now_s: float) -> None:
        """Send fatal causes again when due, and expire old records."""
        if now_s - self._last_repeat_s >= REPEAT_INTERVAL_S:
            self._last_repeat_s = now_s
            self._book.expire(now_s)
            self._send_sightings(self._book.fatal()[-MAX_REPEATED:], self._neighbours, now_s)

    def _send_sightings(self, causes: list[CauseId], peers: tuple[Peer, ...], now_s: float) -> None:
        if causes:
            news = CrashNews(self._book.sightings(causes, now_s))
            for peer in peers:
                self._outbox.send(peer, news)

    def _log_crashes(self, causes: list[CauseId]) -> None:
        """Log what has crashed several targets."""
        for cause in causes:
            if self._book.crash_count(cause) < MIN_LOGGED_CRASHES:
                continue
            fatal = self._book.is_fatal(cause)
            if fatal:
                self._outbox.count("crash.part_fatal" if is_part(cause) else "crash.fatal")
            targets = ",".join(self._book.targets(cause))
            name = {"cause" if is_part(cause) else "fingerprint": cause}
            self._outbox.log(_EVENTS[is_part(cause), fatal], **name, targets=targets)


_EVENTS = {
    (False, False): "request_suspected",
    (False, True): "request_fatal",
    (True, False): "part_suspected",
    (True, True): "part_fatal",
}
"""Log events for causes: whether they are parts of prompts, and whether they are fatal."""

__all__ = ["Crashes"]
