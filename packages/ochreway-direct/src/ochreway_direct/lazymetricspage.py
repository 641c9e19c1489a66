# SPDX-License-Identifier: Apache-2.0
"""The page of counters, whose library is loaded when somebody first asks."""

import asyncio
import importlib
from typing import TYPE_CHECKING

from aiohttp import web

from ochreway_runtime.metrics import Metrics

if TYPE_CHECKING:
    from ochreway_runtime.metricspage import Gauges, MetricsPage

PAGE_MODULE = "ochreway_runtime.metricspage"
"""It imports a large library, which callers would have to wait for after a restart."""


class LazyMetricsPage:
    """Answer with the counters; the first answer waits for the library, and nothing else does."""

    def __init__(self, metrics: Metrics, gauges: "Gauges") -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._page: MetricsPage | None = None

    async def answer(self, _: web.BaseRequest) -> web.Response:
        """Return the page."""
        module = await asyncio.to_thread(importlib.import_module, PAGE_MODULE)
        if self._page is None:
            self._page = module.MetricsPage(self._metrics, self._gauges)
        return web.Response(body=self._page.render(), headers={"Content-Type": module.CONTENT_TYPE})


__all__ = ["LazyMetricsPage"]
