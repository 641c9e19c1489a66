# SPDX-License-Identifier: Apache-2.0
"""Object store in memory, for tests and stand-ins."""

from ochreway_platform.errors import ObjectMissing
from ochreway_platform.objectstore import ObjectStore


class MemoryObjectStore(ObjectStore):
    """Keep objects in a dictionary."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    async def get(self, name: str) -> bytes:
        """Return an object."""
        if name not in self.objects:
            raise ObjectMissing(name)
        return self.objects[name]

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        self.objects[name] = content


__all__ = ["MemoryObjectStore"]
