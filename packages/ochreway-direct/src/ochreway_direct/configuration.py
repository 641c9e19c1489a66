# SPDX-License-Identifier: Apache-2.0
"""The accepted configuration of a site with direct entries."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import OrganisationId, RegionId, Version
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_runtime.clients.connectionlimits import ConnectionLimits


class RouteKind(Enum):
    """Define whether a request may run more than once, and how it is answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """Hold the weight of a service among those of a route."""

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Map requests for a host and path prefix to services, with their limits.

    With ``homes``, its requests may only be served in those regions.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    resumable: bool
    public: bool
    attempts_at_most: int
    timeout_s: float
    objective_s: float
    pause_s: float
    priority: int
    shares: tuple[Share, ...]
    homes: tuple[RegionId, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """Describe a model that a group of engines serves together.

    ``share`` is its assumed share of the work until any was measured, relative to other models.
    """

    name: ModelName
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Hold the performance figures of a service's engines; rates are those of a complete group."""

    slots: int
    models: tuple[ModelSpec, ...]
    step_s: float
    per_sequence_s: float
    context_s_per_1k_tokens: float
    read_tokens_per_s: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    staged_at_most: int
    loads_per_s: float
    loads_at_once: int
    form_s: float
    far_factor: float = 1.0
    report_lag_s: float = 0.2

    def token_s(self, requests: float) -> float:
        """Return the time a group takes to produce one token for each of the given requests."""
        return self.step_s + requests * self.per_sequence_s

    @property
    def turn_s(self) -> float:
        """Return the mean time until a slot of a full group becomes free, at the usual pace."""
        writing_s = self.usual_answer_tokens * self.token_s(self.slots)
        reading_s = self.usual_prompt_tokens / self.read_tokens_per_s
        return reading_s + writing_s / self.slots

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return a model by its name."""
        return next((each for each in self.models if each.name == name), None)


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Hold the request rate that a cold target can handle, and how long it usually stays cold."""

    requests_per_s: float
    lasting_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """Describe the targets of a service; without ``cold_start`` they take full load at once."""

    name: ServiceName
    connections_at_most: int
    engine: EngineSpec | None = None
    cold_start: ColdStart | None = None


@dataclass(frozen=True, slots=True)
class Organisation:
    """Describe an organisation and the keys that its callers present.

    With ``homes``, its requests may only be served in those regions.
    """

    name: OrganisationId
    keys: tuple[str, ...]
    priority: int | None = None
    homes: tuple[RegionId, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound the size of a caller's request and the time to send it."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    @property
    def connection(self) -> ConnectionLimits:
        """Return the limits that apply to a connection before a request is read."""
        return ConnectionLimits(self.header_bytes, self.header_timeout_s, self.idle_timeout_s)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one accepted version in full."""

    version: Version
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()


__all__ = [
    "CallerLimits",
    "ColdStart",
    "Configuration",
    "EngineSpec",
    "ModelSpec",
    "Organisation",
    "Route",
    "RouteKind",
    "Service",
    "Share",
]
