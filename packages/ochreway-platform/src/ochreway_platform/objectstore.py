# SPDX-License-Identifier: Apache-2.0
"""The platform's object store."""

from abc import ABC, abstractmethod


class ObjectStore(ABC):
    """Keep immutable bytes under a name."""

    @abstractmethod
    async def get(self, name: str) -> bytes:
        """Return an object.

        Raises:
            ObjectMissing: when there is none of that name.
            ObjectStoreUnavailable: when the store does not answer.
        """

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Keep an object; putting the same again changes nothing.

        Raises:
            ObjectStoreUnavailable: when the store does not answer.
        """


__all__ = ["ObjectStore"]
