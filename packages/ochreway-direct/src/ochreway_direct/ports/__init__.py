# SPDX-License-Identifier: Apache-2.0
"""Interfaces that a platform adapter implements for a direct entry."""

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
