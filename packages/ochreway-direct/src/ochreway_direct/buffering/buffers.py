# SPDX-License-Identifier: Apache-2.0
"""What an entry holds for callers: bodies, and answers read ahead of them."""

import asyncio
from weakref import WeakSet

from ochreway_core.ids import OrganisationId
from ochreway_direct.buffering.callerreader import CallerReader
from ochreway_direct.buffering.endcause import EndCause
from ochreway_direct.buffering.heldbytes import HeldBytes, StalledSince, never_stalled
from ochreway_direct.buffering.heldlimits import HeldLimits
from ochreway_direct.buffering.holding import Holding
from ochreway_direct.buffering.unreadanswers import UnreadAnswers
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

CHECK_INTERVAL_S = 0.1
"""How often it is checked which callers have stopped reading."""
UNBOUNDED_BYTES = 1 << 62
"""Limit of a connection's buffer under which its writes never wait."""
HAND_OVER_S = 0.25
"""How long a whole answer may take from its hand-over until it is written."""
SHARE_DIGITS = 3
AGE_DIGITS = 3


class Buffers:
    """Keep the sum of what is held under its limit, and end callers that do not read."""

    def __init__(
        self,
        limits: HeldLimits,
        log: EventLog,
        metrics: Metrics,
        stalled_since: StalledSince = never_stalled,
    ) -> None:
        self.limits = limits
        self._held = HeldBytes(limits, stalled_since)
        self._log = log
        self._metrics = metrics
        self._readers: dict[asyncio.Transport, CallerReader] = {}
        self._bodies: WeakSet[Holding] = WeakSet()

    @property
    def unread_bytes(self) -> int:
        """Return the number of bytes of answers that callers have not read yet."""
        self._refresh(_now_s())
        return self._held.unread_bytes

    def squeeze(self, share: float) -> None:
        """Admit bodies up to a share of their limit, as the process has little memory left."""
        self._held.admitted_share = share

    def request_holding(self) -> Holding:
        """Return an empty holding for the body of a request."""
        holding = Holding(self._held, lambda more_bytes: self._admit(holding, more_bytes))
        self._bodies.add(holding)
        return holding

    def answer_holding(self) -> Holding:
        """Return an empty holding for an answer of which nothing was written yet."""
        return Holding(self._held, self._make_room)

    def reader(
        self, transport: asyncio.Transport, organisation: OrganisationId | None, request: str
    ) -> CallerReader:
        """Return the reader for the next answer on a caller's connection.

        Writes to the connection do not wait any more; ``wrote`` says when to wait for the caller.
        """
        reader = self._readers.get(transport)
        if reader is None:
            reader = CallerReader(transport, UnreadAnswers(organisation, request))
            transport.set_write_buffer_limits(high=UNBOUNDED_BYTES)
        reader.unread.organisation, reader.unread.request = organisation, request
        return reader

    def wrote(self, reader: CallerReader, size_bytes: int) -> bool:
        """Record that bytes were written; return whether the answer is ahead by its limit."""
        pending_bytes = reader.pending_bytes()
        if not pending_bytes and not reader.unread.held_bytes:
            return False
        now_s = _now_s()
        self._update(reader, size_bytes, pending_bytes, now_s)
        if self._held.excess_bytes():
            self._refresh(now_s)
            self._end_excess(now_s)
        return pending_bytes > self.limits.answer_bytes

    def hand_over(self, reader: CallerReader, size_bytes: int, now_s: float) -> None:
        """Record a whole answer that is written next."""
        before_bytes = reader.pending_bytes()
        reader.keep_until_s = now_s + HAND_OVER_S
        self._update(reader, size_bytes, before_bytes + size_bytes, now_s)

    def check(self, now_s: float) -> None:
        """End the callers that have stopped reading."""
        self._refresh(now_s)
        for reader in self._readers.values():
            reader.record_progress(now_s)
        readers = [each.unread for each in self._readers.values()]
        self._end(self._held.stopped(readers, now_s), EndCause.STOPPED, now_s)
        self._end_excess(now_s)

    def gauges(self) -> dict[str, float]:
        """Return the gauges for the metrics page."""
        self._refresh(_now_s())
        total_bytes = self._held.total_bytes
        return {
            "held_bytes": float(total_bytes),
            "held_bytes_share": round(total_bytes / self.limits.total_bytes, SHARE_DIGITS),
        }

    def _admit(self, holding: Holding, more_bytes: int) -> bool:
        """Return whether more bytes of a request body fit; callers that read do not give way.

        Incomplete bodies that hold more than this one would give way, the largest first.
        """
        wanted_bytes = holding.size_bytes + more_bytes
        incomplete = [each for each in self._bodies if each.is_incomplete and each is not holding]
        incomplete.sort(key=lambda each: each.size_bytes)
        while not self._fits(more_bytes):
            if not incomplete or incomplete[-1].size_bytes <= wanted_bytes:
                return False
            largest = incomplete.pop()
            self._metrics.count("body.given_up")
            self._log.failure("body_given_up", bytes=largest.size_bytes)
            largest.give_up()
        return True

    def _fits(self, more_bytes: int) -> bool:
        min_behind_s = self.limits.min_behind_s
        return self._held.admits(more_bytes) and self._make_room(more_bytes, min_behind_s)

    def _make_room(self, more_bytes: int, min_behind_s: float = 0.0) -> bool:
        """Return whether more bytes of a body fit, once slow readers were ended for them."""
        if not self._held.excess_bytes(more_bytes):
            return True
        now_s = _now_s()
        self._refresh(now_s)
        readers = [each.unread for each in self._readers.values()]
        chosen = self._held.to_end_for(more_bytes, readers, min_behind_s, now_s)
        if chosen is None:
            return False
        self._end(chosen, EndCause.MEMORY, now_s)
        return True

    def _end_excess(self, now_s: float) -> None:
        readers = [each.unread for each in self._readers.values()]
        self._end(self._held.to_end(readers, now_s), EndCause.MEMORY, now_s)

    def _refresh(self, now_s: float) -> None:
        for reader in list(self._readers.values()):
            self._update(reader, 0, reader.pending_bytes(), now_s)

    def _update(
        self, reader: CallerReader, added_bytes: int, held_bytes: int, now_s: float
    ) -> None:
        self._held.update(reader.unread, added_bytes, held_bytes, now_s)
        if held_bytes or now_s < reader.keep_until_s:
            self._readers[reader.transport] = reader
        else:
            self._readers.pop(reader.transport, None)

    def _end(self, chosen: list[UnreadAnswers], cause: EndCause, now_s: float) -> None:
        """Abort the connections of readers."""
        if not chosen:
            return
        ended = [each for each in self._readers.values() if each.unread in chosen]
        for reader in ended:
            unread = reader.unread
            self._log.failure(
                "reader_ended",
                cause=cause.value,
                organisation=unread.organisation or "",
                request=unread.request,
                bytes=unread.held_bytes,
                age_s=round(self._held.age_s(unread, now_s), AGE_DIGITS),
            )
            self._metrics.count("reader.ended")
            reader.end()
            reader.keep_until_s = 0.0
            self._update(reader, 0, 0, now_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["CHECK_INTERVAL_S", "Buffers"]
