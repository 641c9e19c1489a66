# SPDX-License-Identifier: Apache-2.0
"""Source of the accepted configuration."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_direct.configuration import Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationReading:
    """Hold the newest configuration as of a moment not before ``polled_s``.

    ``configuration`` is ``None`` while the operators have accepted none. ``decode_time_s`` is the
    time that this process spent on decoding it, 0 when nothing was new. ``drained`` names the
    halls that get no new requests, as of the same moment.
    """

    configuration: Configuration | None
    polled_s: float
    decode_time_s: float = 0.0
    drained: DrainedHalls = UNREAD_HALLS


class ConfigurationSource(ABC):
    """Read the accepted configuration."""

    @abstractmethod
    async def poll(self, wait_s: float) -> ConfigurationReading:
        """Return the newest configuration, at once if it changed since the last call.

        Args:
            wait_s: how long to wait for a change, in seconds.

        Raises:
            ConfigurationUnavailable: if the source does not answer.
            ConfigurationUnreadable: if a version cannot be decoded; the error names the drained
                halls of the same reading.
        """


__all__ = ["ConfigurationReading", "ConfigurationSource"]
