# SPDX-License-Identifier: Apache-2.0
"""Ports to the platform, the engines and the plain services."""
