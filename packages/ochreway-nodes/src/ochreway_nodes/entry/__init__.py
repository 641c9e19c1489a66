# SPDX-License-Identifier: Apache-2.0
"""The entry: callers' requests in, answers out."""

from ochreway_nodes.entry.node import EntryNode

__all__ = ["EntryNode"]
