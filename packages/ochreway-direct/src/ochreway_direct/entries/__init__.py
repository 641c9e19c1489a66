# SPDX-License-Identifier: Apache-2.0
"""The other entries: membership, heartbeat topology and the contents of heartbeats."""
