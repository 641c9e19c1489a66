# SPDX-License-Identifier: Apache-2.0
"""The platform's list of live and leaving instances."""

import json
from abc import ABC, abstractmethod
from typing import Any

import aiohttp

from ochreway_core.ids import DomainId, HallId, NodeId
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_platform.answers import read_body
from ochreway_platform.calls import MAX_BODY_BYTES
from ochreway_platform.errors import ListUnavailable


class InstanceList(ABC):
    """The platform's list of instances, which may lag behind their actual state."""

    @abstractmethod
    async def read(self) -> list[ListedInstance]:
        """Return the instances listed.

        Raises:
            ListUnavailable: if the list cannot be read.
        """


class MemoryInstanceList(InstanceList):
    """Instance list in memory."""

    def __init__(self) -> None:
        self.instances: dict[NodeId, ListedInstance] = {}

    async def read(self) -> list[ListedInstance]:
        """Return the instances listed."""
        return list(self.instances.values())


class HttpInstanceList(InstanceList):
    """Instance list read over HTTP as JSON."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float) -> None:
        self._session = session
        self._url = f"{base_url.rstrip('/')}/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._etag = ""
        self._last_list: list[ListedInstance] = []

    async def read(self) -> list[ListedInstance]:
        """Return the listed instances; an unchanged list is not transferred again."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=self._timeout
            ) as response:
                if response.status == 304:
                    return self._last_list
                response.raise_for_status()
                items = json.loads(await read_body(response, MAX_BODY_BYTES))
                self._last_list = [instance_from_json(item) for item in items]
                self._etag = response.headers.get("ETag", "")
                return self._last_list
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ListUnavailable(str(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise ListUnavailable(f"unexpected content: {error}") from error


def instance_from_json(item: dict[str, Any]) -> ListedInstance:
    """Decode one instance of the list from JSON."""
    return ListedInstance(
        node=NodeId(item["name"]),
        address=item["address"],
        kind=InstanceKind(item["kind"]),
        hall=HallId(item["hall"]),
        domain=DomainId(item["domain"]),
        leaving=item["state"] == "leaving",
    )


def instance_to_json(instance: ListedInstance) -> dict[str, str]:
    """Encode one instance of the list as JSON."""
    return {
        "name": instance.node,
        "address": instance.address,
        "kind": instance.kind.value,
        "hall": instance.hall,
        "domain": instance.domain,
        "state": "leaving" if instance.leaving else "live",
    }


__all__ = [
    "HttpInstanceList",
    "InstanceList",
    "MemoryInstanceList",
    "instance_from_json",
    "instance_to_json",
]
