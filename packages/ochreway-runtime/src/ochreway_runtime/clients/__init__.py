# SPDX-License-Identifier: Apache-2.0
"""Connections of clients that this process does not control, and the bounds on what they hold."""
