# SPDX-License-Identifier: Apache-2.0
"""Routing, limits, fair queues and retries."""
