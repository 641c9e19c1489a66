# SPDX-License-Identifier: Apache-2.0
"""Ports to the platform, to model engines and to plain services."""
