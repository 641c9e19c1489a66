# SPDX-License-Identifier: Apache-2.0
"""Queue of calls that wait for a place at a group."""
