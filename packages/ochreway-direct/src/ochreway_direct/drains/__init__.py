# SPDX-License-Identifier: Apache-2.0
"""Halls that are drained: which, since when, and who has to know it."""
