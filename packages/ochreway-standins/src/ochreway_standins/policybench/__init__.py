# SPDX-License-Identifier: Apache-2.0
"""Routing policies measured against small fakes of a replica, under virtual time."""
