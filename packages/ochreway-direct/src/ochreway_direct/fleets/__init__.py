# SPDX-License-Identifier: Apache-2.0
"""Targets and groups as an entry knows them, and what is sent to each."""
