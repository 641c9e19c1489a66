# SPDX-License-Identifier: Apache-2.0
"""Lease of the entry that forms groups."""
