# SPDX-License-Identifier: Apache-2.0
"""A limit for all entries together on what a target gets that may be cold."""
