# SPDX-License-Identifier: Apache-2.0
"""Requests that end their targets: seen, told to all entries, kept and refused."""
