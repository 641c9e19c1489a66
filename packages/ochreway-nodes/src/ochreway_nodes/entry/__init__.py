# SPDX-License-Identifier: Apache-2.0
"""The entry, which routes callers' requests and returns the answers."""

from ochreway_nodes.entry.node import EntryNode

__all__ = ["EntryNode"]
