# SPDX-License-Identifier: Apache-2.0
"""The bundle: one immutable document that describes what to serve."""

from __future__ import annotations

import hashlib
import tomllib
from collections import Counter
from typing import Annotated

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result

from ochreway_core.ids import BundleHash, GroupId
from ochreway_core.targetkind import TargetKind

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Percent = Annotated[int, Field(ge=0, le=100)]


class Section(BaseModel):
    """Base of the sections; rejects unknown keys and does not convert values."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Weights(Section):
    """Weights of a second of group downtime and of a stranded instance-second."""

    downtime: float = Field(default=1.0, gt=0)
    stranded: float = Field(default=1.0, gt=0)


class Roll(Section):
    """Limit how a new version is rolled out."""

    max_groups_down: int = Field(default=1, ge=1)
    ready_timeout_s: float = Field(default=600.0, gt=0)


class Legacy(Section):
    """Send a share of a model's requests to targets that are not managed by ochreway."""

    share_percent: Percent
    targets: list[str] = Field(default_factory=list)

    @model_validator(mode="after")
    def _share_has_targets(self) -> Legacy:
        if self.share_percent and not self.targets:
            raise ValueError("share_percent is above 0 but targets is empty; name one target")
        return self


class Model(Section):
    """Describe one model and the version of it to serve."""

    name: Name
    version: str
    weights: str
    adapters: list[Name] = Field(default_factory=list)
    slots: int = Field(default=64, ge=1)
    legacy: Legacy | None = None


class Service(Section):
    """Describe one plain service."""

    name: Name
    repeatable_methods: list[str] = Field(default_factory=lambda: ["GET", "HEAD"])
    slots: int = Field(default=64, ge=1)


class Group(Section):
    """Assign instances of one fabric domain to replicas of one model or service."""

    name: Name
    domain: Name
    model: Name | None = None
    service: Name | None = None
    replicas: int = Field(ge=1)
    instances_per_replica: int = Field(default=1, ge=1, le=32)
    instances: list[Name] = Field(min_length=1)
    priority: int = Field(default=1, ge=0, le=9)
    role: str = "serve"
    warm_spares: bool = True
    standbys: int = Field(default=0, ge=0, le=8)

    @model_validator(mode="after")
    def _shape_is_possible(self) -> Group:
        if (self.model is None) == (self.service is None):
            raise ValueError("name exactly one of model and service")
        if self.service is not None and self.instances_per_replica != 1:
            raise ValueError("instances_per_replica must be 1 for a service")
        if len(set(self.instances)) != len(self.instances):
            raise ValueError("instances repeats a name; name each once")
        if self.replicas * (self.instances_per_replica + self.standbys) > len(self.instances):
            raise ValueError(
                "instances are too few for replicas * (instances_per_replica + standbys)"
            )
        return self

    @property
    def target(self) -> str:
        """Return the name of the model or service that the group serves."""
        return self.model or self.service or ""

    @property
    def kind(self) -> TargetKind:
        """Return whether the group serves a model or a service."""
        return TargetKind.MODEL if self.model else TargetKind.SERVICE

    def replica_ids(self) -> list[GroupId]:
        """Return the id of each replica, in order."""
        return [GroupId(f"{self.name}-{index}") for index in range(self.replicas)]


class Organisation(Section):
    """Describe one calling organisation and its limits."""

    name: Name
    token_sha256: Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
    weight: int = Field(default=1, ge=1)
    guaranteed_percent: Percent = 0
    max_in_flight: int = Field(default=1000, ge=1)
    max_tokens_in_flight: int = Field(default=4_000_000, ge=1)
    requests_per_s: float = Field(default=10_000.0, gt=0)


class Bundle(Section):
    """Describe what is served, where and for whom."""

    format: int = Field(ge=1, le=1)
    name: Name
    scope: Name = "main"
    weights: Weights = Weights()
    roll: Roll = Roll()
    model: list[Model] = Field(default_factory=list)
    service: list[Service] = Field(default_factory=list)
    group: list[Group] = Field(default_factory=list)
    organisation: list[Organisation] = Field(min_length=1)

    @model_validator(mode="after")
    def _names_agree(self) -> Bundle:
        targets = [model.name for model in self.model]
        targets += [service.name for service in self.service]
        _no_repeats("model and service names", targets)
        _no_repeats("group names", [group.name for group in self.group])
        _no_repeats("organisation names", [item.name for item in self.organisation])
        _no_repeats("organisation tokens", [item.token_sha256 for item in self.organisation])
        _no_repeats("group instances", [name for group in self.group for name in group.instances])
        if sum(item.guaranteed_percent for item in self.organisation) > 100:
            raise ValueError("guaranteed_percent adds up to more than 100; lower some")
        for group in self.group:
            if group.target not in targets:
                raise ValueError(
                    f"group {group.name} serves {group.target}, which is not described"
                )
        return self

    def model_named(self, name: str) -> Model | None:
        """Return the model of that name."""
        return next((model for model in self.model if model.name == name), None)

    def service_named(self, name: str) -> Service | None:
        """Return the service of that name."""
        return next((service for service in self.service if service.name == name), None)

    def artifact(self, group: Group) -> str:
        """Return what the group's engines must load, as one comparable string."""
        model = self.model_named(group.target)
        if model is None:
            return f"service:{group.target}"
        return (
            f"{model.name}@{model.version}:{model.weights}+{','.join(model.adapters)}#{group.role}"
        )

    def slots(self, group: Group) -> int:
        """Return how many requests one replica of the group may run at once."""
        described = self.model_named(group.target) or self.service_named(group.target)
        return described.slots if described else 1

    def instance_names(self) -> list[str]:
        """Return every instance that the bundle names."""
        return [name for group in self.group for name in group.instances]

    def domains(self) -> list[str]:
        """Return every fabric domain that the bundle names, sorted."""
        return sorted({group.domain for group in self.group})


def _no_repeats(what: str, names: list[str]) -> None:
    repeated = sorted(name for name, count in Counter(names).items() if count > 1)
    if repeated:
        raise ValueError(f"{what} repeat: {', '.join(repeated)}; each may appear only once")


def bundle_hash(body: bytes) -> BundleHash:
    """Return the hash that identifies a bundle's bytes."""
    return BundleHash(hashlib.sha256(body).hexdigest())


def parse_bundle(body: bytes) -> Result[Bundle, list[str]]:
    """Parse a bundle, or return every fault with its line or key path.

    Args:
        body: TOML in UTF-8.
    """
    try:
        content = tomllib.loads(body.decode())
    except UnicodeDecodeError as error:
        return Err([f"byte {error.start}: not UTF-8; save the file as UTF-8"])
    except tomllib.TOMLDecodeError as error:
        last = f"at line {len(body.splitlines())}, the last"
        return Err([f"not TOML: {str(error).replace('at end of document', last)}"])
    try:
        return Ok(Bundle.model_validate(content))
    except ValidationError as error:
        return Err([_describe(item["loc"], item["msg"]) for item in error.errors()])


def _describe(path: tuple[int | str, ...], text: str) -> str:
    remedies = {"Extra inputs are not permitted": "unknown key; remove it or correct its spelling"}
    key = ".".join(str(part) for part in path) or "bundle"
    return f"{key}: {remedies.get(text, text.removeprefix('Value error, '))}"


__all__ = [
    "Bundle",
    "Group",
    "Legacy",
    "Model",
    "Organisation",
    "Roll",
    "Service",
    "Weights",
    "bundle_hash",
    "parse_bundle",
]
