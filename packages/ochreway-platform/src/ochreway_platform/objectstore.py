# SPDX-License-Identifier: Apache-2.0
"""The platform's object store."""

from abc import ABC, abstractmethod


class ObjectStore(ABC):
    """Store of immutable objects by name."""

    @abstractmethod
    async def get(self, name: str) -> bytes:
        """Return an object.

        Raises:
            ObjectMissing: if there is no object of that name.
            ObjectStoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same object again has no effect.

        Raises:
            ObjectStoreUnavailable: if the store does not answer.
        """


__all__ = ["ObjectStore"]
