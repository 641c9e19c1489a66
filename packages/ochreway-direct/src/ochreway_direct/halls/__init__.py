# SPDX-License-Identifier: Apache-2.0
"""Halls and the regions that calls are bound to."""
