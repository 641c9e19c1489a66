# SPDX-License-Identifier: Apache-2.0
"""What a direct entry asks of the platform that it runs on."""

from ochreway_direct.ports.configurationsource import ConfigurationReading, ConfigurationSource
from ochreway_direct.ports.dialect import AnswerHead, CallerDialect, CallerTerms, ForwardTerms
from ochreway_direct.ports.enginecontrol import EngineControl
from ochreway_direct.ports.platformservices import PlatformServices
from ochreway_direct.ports.targetlist import TargetList, TargetReading

__all__ = [
    "AnswerHead",
    "CallerDialect",
    "CallerTerms",
    "ConfigurationReading",
    "ConfigurationSource",
    "EngineControl",
    "ForwardTerms",
    "PlatformServices",
    "TargetList",
    "TargetReading",
]
