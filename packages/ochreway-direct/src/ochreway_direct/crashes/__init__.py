# SPDX-License-Identifier: Apache-2.0
"""Requests that crash their targets: detected, announced to all entries, stored and refused."""
