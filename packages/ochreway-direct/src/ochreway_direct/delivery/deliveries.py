# SPDX-License-Identifier: Apache-2.0
"""The requests whose callers do not have the whole answer yet."""

from collections.abc import Mapping

from aiohttp import web

from ochreway_core.reason import Reason
from ochreway_direct.delivery.delivery import Delivery
from ochreway_direct.delivery.stage import Stage
from ochreway_direct.ports.dialect import CallerDialect, CallerTerms
from ochreway_direct.relay.calllog import CallLog
from ochreway_direct.serving import Serving
from ochreway_runtime.metrics import Metrics


class Deliveries:
    """Follow each request until its caller has the answer; log each that ends before that.

    Each such end has one line, whatever ended it: the caller, the entry or its stop.
    """

    def __init__(
        self, serving: Serving, dialect: CallerDialect, log: CallLog, metrics: Metrics
    ) -> None:
        self._serving = serving
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._open: set[Delivery] = set()
        self.broken_count = 0

    @property
    def own_end_reason(self) -> Reason:
        """Return why this process closes a connection under a request, if nothing else says so."""
        return Reason.STOPPING if self._serving.stopping else Reason.INVARIANT

    def begin(self, request: web.BaseRequest, terms: CallerTerms) -> Delivery:
        """Follow a request from now on."""
        delivery = Delivery(request, terms, request.transport)
        self._open.add(delivery)
        return delivery

    def complete(self, delivery: Delivery) -> None:
        """Stop following a request, as its caller has the answer."""
        self._open.discard(delivery)

    def break_off(self, delivery: Delivery, reason: Reason) -> None:
        """Report that a request ends without a complete answer, unless that was reported."""
        if delivery not in self._open:
            return
        self._open.discard(delivery)
        self._count(reason)
        self._log.broken(
            delivery.call,
            delivery.terms.request,
            reason,
            delivery.stage,
            delivery.written_bytes,
            delivery.unsent_bytes(),
        )

    def break_off_unread(self, headers: Mapping[str, str], reason: Reason) -> None:
        """Report that a request was received and its connection ended before it was looked at."""
        self._count(reason)
        request = self._dialect.read(headers).request
        self._log.broken(None, request, reason, Stage.RECEIVED, 0, 0)

    def unsent_bytes(self) -> int:
        """Return the bytes of answers that callers have not acknowledged."""
        return sum(delivery.unsent_bytes() for delivery in self._open)

    def _count(self, reason: Reason) -> None:
        self.broken_count += 1
        self._metrics.count(f"broken.{reason.value}")


__all__ = ["Deliveries"]
