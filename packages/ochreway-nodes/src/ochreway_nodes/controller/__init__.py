# SPDX-License-Identifier: Apache-2.0
"""The controller of a fabric domain, held by one entry at a time."""

from ochreway_nodes.controller.controller import Controller

__all__ = ["Controller"]
