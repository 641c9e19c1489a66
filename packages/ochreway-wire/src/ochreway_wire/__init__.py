# SPDX-License-Identifier: Apache-2.0
"""Authenticated websocket links between the processes of ochreway."""
