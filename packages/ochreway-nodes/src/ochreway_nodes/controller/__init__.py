# SPDX-License-Identifier: Apache-2.0
"""The controller of a fabric domain, run by the entry that holds the domain's lease."""

from ochreway_nodes.controller.controller import Controller

__all__ = ["Controller"]
