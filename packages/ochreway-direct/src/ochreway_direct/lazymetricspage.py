# SPDX-License-Identifier: Apache-2.0
"""The metrics page, whose library is loaded on the first request."""

import asyncio
import importlib
from typing import TYPE_CHECKING

from aiohttp import web

from ochreway_runtime.metrics import Metrics

if TYPE_CHECKING:
    from ochreway_runtime.metricspage import Gauges, MetricsPage

PAGE_MODULE = "ochreway_runtime.metricspage"
"""Module that imports a large library, for which callers would have to wait after a restart."""


class LazyMetricsPage:
    """Serve the counters; only the first answer waits for the library."""

    def __init__(self, metrics: Metrics, gauges: "Gauges") -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._page: MetricsPage | None = None

    async def answer(self, _: web.BaseRequest) -> web.Response:
        """Return the metrics page."""
        module = await asyncio.to_thread(importlib.import_module, PAGE_MODULE)
        if self._page is None:
            self._page = module.MetricsPage(self._metrics, self._gauges)
        return web.Response(body=self._page.render(), headers={"Content-Type": module.CONTENT_TYPE})


__all__ = ["LazyMetricsPage"]
