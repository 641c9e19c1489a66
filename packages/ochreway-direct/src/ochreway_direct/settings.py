# SPDX-License-Identifier: Apache-2.0
"""The settings of a direct entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Hold every setting; each is a flag and an environment variable of the command."""

    name: str
    hall: str
    adapter: str
    caller_listen: str
    ready_listen: str
    link_listen: str
    platform_url: str
    peer: tuple[str, ...] = ()
    link_key: str = ""
    statsd: str = ""
    log_level: str = "info"
    key_trust_s: float = 4.5
    grace_s: float = 8.0
    idle_caller_s: float = 30.0
    body_bytes_at_most: int = 4 * 1024 * 1024
    header_bytes_at_most: int = 16 * 1024


__all__ = ["DirectSettings"]
