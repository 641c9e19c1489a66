# SPDX-License-Identifier: Apache-2.0
"""The lease of the entry that forms groups."""
