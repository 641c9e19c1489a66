# SPDX-License-Identifier: Apache-2.0
"""The services that an adapter provides to a direct entry, and the registry of adapters."""

from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from ochreway_direct.ports.configurationsource import ConfigurationSource
from ochreway_direct.ports.dialect import CallerDialect
from ochreway_direct.ports.enginecontrol import EngineControl
from ochreway_direct.ports.targetlist import TargetList
from ochreway_platform.table import Table


@dataclass(frozen=True, slots=True)
class PlatformServices:
    """Hold the implementations of all ports."""

    configurations: ConfigurationSource
    targets: TargetList
    engines: EngineControl
    table: Table
    dialect: CallerDialect


AdapterFactory = Callable[[aiohttp.ClientSession, str], PlatformServices]
"""Build the ports from a session and the platform's base URL."""

ADAPTERS: dict[str, AdapterFactory] = {}


def adapter(name: str) -> Callable[[AdapterFactory], AdapterFactory]:
    """Register the factory of a platform's ports."""

    def register(factory: AdapterFactory) -> AdapterFactory:
        ADAPTERS[name] = factory
        return factory

    return register


__all__ = ["ADAPTERS", "AdapterFactory", "PlatformServices", "adapter"]
