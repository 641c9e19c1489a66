# SPDX-License-Identifier: Apache-2.0
"""Progress of a roll, computed from the statuses of the entries."""

from dataclasses import dataclass
from typing import Any

from ochreway_core.bundle import Bundle


@dataclass(frozen=True, slots=True)
class RollProgress:
    """How many groups run what the accepted version asks for, and how many entries know it."""

    version: int
    wanted: int
    current: int
    serving: int
    entries_in_force: int
    entries: int

    @property
    def complete(self) -> bool:
        """Return whether all groups serve the wanted artifact and all entries know the version."""
        all_informed = self.entries > 0 and self.entries_in_force == self.entries
        return all_informed and self.current == self.serving == self.wanted


def roll_progress(bundle: Bundle, version: int, statuses: list[dict[str, Any]]) -> RollProgress:
    """Compute the progress of a roll from the statuses of the entries."""
    wanted = {
        replica: bundle.artifact(spec) for spec in bundle.group for replica in spec.replica_ids()
    }
    groups = {
        group["group"]: group
        for status in statuses
        for domain in status["domains"]
        for group in domain["groups"]
    }
    current = [
        groups[name]
        for name, artifact in wanted.items()
        if name in groups and groups[name]["artifact"] == artifact
    ]
    return RollProgress(
        version=version,
        wanted=len(wanted),
        current=len(current),
        serving=sum(bool(group["serving"]) for group in current),
        entries_in_force=sum(status["version"] >= version for status in statuses),
        entries=len(statuses),
    )


__all__ = ["RollProgress", "roll_progress"]
