# SPDX-License-Identifier: Apache-2.0
"""The agent that runs beside each target."""

from ochreway_nodes.agent.node import AgentNode

__all__ = ["AgentNode"]
