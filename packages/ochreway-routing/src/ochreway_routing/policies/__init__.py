# SPDX-License-Identifier: Apache-2.0
"""The routing policies; importing this package fills the registry."""

from ochreway_routing.policies.cost import CostPolicy
from ochreway_routing.policies.leastloaded import LeastLoaded
from ochreway_routing.policies.prefixhash import PrefixHash
from ochreway_routing.policies.roundrobin import RoundRobin
from ochreway_routing.policies.sticky import Sticky

__all__ = ["CostPolicy", "LeastLoaded", "PrefixHash", "RoundRobin", "Sticky"]
