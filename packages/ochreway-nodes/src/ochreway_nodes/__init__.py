# SPDX-License-Identifier: Apache-2.0
"""Entry, agent and controller as nodes without input or output."""
