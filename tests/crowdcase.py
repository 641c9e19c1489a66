# SPDX-License-Identifier: Apache-2.0
"""Crowds of ill-behaved clients at one listener of a process with lowered limits.

The process must live, stay within its memory and its descriptors, and answer ordinary requests
afterwards. Bytes that the kernel holds for it count as its own.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar, Protocol

import testtools

from ochreway_standins.crowd.ask import Ask
from ochreway_standins.crowd.crowd import Crowd
from ochreway_standins.crowd.footprint import Footprint
from ochreway_standins.crowd.shape import Shape
from ochreway_standins.crowd.shapes import SHAPES

CONNECTIONS = 48
MANY_CONNECTIONS = 300
"""Fewer than the descriptors, more than clients may hold of them."""
CROWD_S = 2.0
SAMPLE_INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = 30.0


class CrowdedSite(Protocol):
    """A site with the process that a crowd attacks."""

    memory_mb: int
    descriptors: int

    async def begin(self) -> None:
        """Start all processes unless they run; wait until ordinary requests are answered."""

    async def answer(self) -> None:
        """Wait until an ordinary request is answered."""

    async def finish(self) -> None:
        """End all processes."""

    def sample(self) -> Footprint:
        """Return what the process holds now."""

    def lives(self) -> bool:
        """Return whether the process has not ended."""

    def print_logs(self) -> None:
        """Print what the process logged."""


class SiteThread:
    """Run a site in an event loop of its own, for all tests of a class."""

    def __init__(self, site: CrowdedSite) -> None:
        self.site = site
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run something in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def close(self) -> None:
        """End the processes and the loop."""
        self.run(self.site.finish())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


class CrowdCase(testtools.TestCase):
    """Send each shape to one listener of a site, which is started again after a failed test."""

    ask: ClassVar[Ask]
    running: ClassVar[SiteThread | None] = None

    @classmethod
    def tearDownClass(cls) -> None:
        cls.stop_site()
        super().tearDownClass()

    @classmethod
    def stop_site(cls) -> None:
        """End the site, if one runs."""
        if cls.running is not None:
            cls.running.close()
            cls.running = None

    def new_site(self) -> CrowdedSite:
        """Return a site that is not started."""
        raise NotImplementedError

    def address(self, site: CrowdedSite) -> str:
        """Return the listener's address."""
        raise NotImplementedError

    def check_shape(self, shape: Shape, connections: int = CONNECTIONS) -> None:
        """Check that the process lives, stays within its means and answers after a crowd."""
        cls = type(self)
        running = cls.running = cls.running or SiteThread(self.new_site())
        site = running.site
        try:
            running.run(site.begin())
            peak = running.run(self._crowd(site, shape, connections))
            self.assertTrue(site.lives())
            self.assertLessEqual(peak.total_mb, site.memory_mb, peak)
            self.assertLessEqual(peak.descriptors, site.descriptors, peak)
            running.run(asyncio.wait_for(site.answer(), ANSWER_TIMEOUT_S))
        except BaseException:
            site.print_logs()
            self.stop_site()
            raise

    async def _crowd(self, site: CrowdedSite, shape: Shape, connections: int) -> Footprint:
        """Return the largest of what the process held while a crowd was there."""
        crowd = Crowd(self.address(site), shape, connections)
        peak, task = Footprint(), asyncio.create_task(crowd.run(CROWD_S))
        while not task.done() and site.lives():
            peak = peak.peak(site.sample())
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        await task
        return peak


def shape_tests(
    names: tuple[str, ...], connections: int = CONNECTIONS
) -> Callable[[type[CrowdCase]], type[CrowdCase]]:
    """Add a test for each named shape to a class."""

    def add(case: type[CrowdCase]) -> type[CrowdCase]:
        for name in names:

            def test(self: CrowdCase, name: str = name) -> None:
                self.check_shape(SHAPES[name](self.ask), connections)

            suffix = "" if connections == CONNECTIONS else f"_over_{connections}_connections"
            test.__name__ = f"test_{name}{suffix}"
            setattr(case, test.__name__, test)
        return case

    return add


__all__ = ["MANY_CONNECTIONS", "CrowdCase", "CrowdedSite", "SiteThread", "shape_tests"]
