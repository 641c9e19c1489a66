# SPDX-License-Identifier: Apache-2.0
"""Targets whose address a newer target of another service uses."""

from collections.abc import Callable
from dataclasses import replace

from ochreway_direct.ids import ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.ports.targetlist import TargetReading


def mark_reused_addresses(
    reading: TargetReading, is_named: Callable[[ServiceName], bool]
) -> tuple[ListedTarget, ...]:
    """Return the targets; those at whose address a named service is newer count as leaving.

    Services that no configuration names are another writer's, and take no address from a target.
    """
    return tuple(
        replace(each, leaving=True)
        if any(is_named(service) for service in reading.newer_services.get(each.instance, ()))
        else each
        for each in reading.targets
    )


__all__ = ["mark_reused_addresses"]
