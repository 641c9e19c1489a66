# SPDX-License-Identifier: Apache-2.0
"""Where the accepted configuration comes from."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_direct.configuration import Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationReading:
    """Hold the newest configuration as of a moment not before it was asked for.

    It is ``None`` while the operators have accepted none. ``decoded_in_s`` is the time that
    this process spent on decoding it, 0 when nothing was new. ``drained`` names the halls that
    get nothing new, as of the same moment.
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
            ConfigurationUnavailable: when the source does not answer.
            ConfigurationUnreadable: when a version cannot be decoded; it names the halls that
                the same reading shows as drained.
        """


__all__ = ["ConfigurationReading", "ConfigurationSource"]
