# SPDX-License-Identifier: Apache-2.0
"""Decisions of ochreway without input or output."""
