# SPDX-License-Identifier: Apache-2.0
"""Explain the outcome of a request from the logs of several processes."""

from ochreway_cli.explain.command import explain

__all__ = ["explain"]
