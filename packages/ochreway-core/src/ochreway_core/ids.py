# SPDX-License-Identifier: Apache-2.0
"""Distinct types for identifiers."""

from typing import NewType

NodeId = NewType("NodeId", str)
InstanceId = NewType("InstanceId", str)
GroupId = NewType("GroupId", str)
DomainId = NewType("DomainId", str)
HallId = NewType("HallId", str)
RegionId = NewType("RegionId", str)
ScopeId = NewType("ScopeId", str)
OrganisationId = NewType("OrganisationId", str)
TargetName = NewType("TargetName", str)
BundleHash = NewType("BundleHash", str)
ChangeId = NewType("ChangeId", str)
RequestId = NewType("RequestId", str)
KeyDigest = NewType("KeyDigest", str)
Fingerprint = NewType("Fingerprint", str)
PartId = NewType("PartId", str)
CauseId = NewType("CauseId", str)
Version = NewType("Version", int)
Epoch = NewType("Epoch", int)
Term = NewType("Term", int)
Incarnation = NewType("Incarnation", int)

NO_VERSION = Version(0)
NO_EPOCH = Epoch(0)

__all__ = [
    "NO_EPOCH",
    "NO_VERSION",
    "BundleHash",
    "CauseId",
    "ChangeId",
    "DomainId",
    "Epoch",
    "Fingerprint",
    "GroupId",
    "HallId",
    "Incarnation",
    "InstanceId",
    "KeyDigest",
    "NodeId",
    "OrganisationId",
    "PartId",
    "RegionId",
    "RequestId",
    "ScopeId",
    "TargetName",
    "Term",
    "Version",
]
