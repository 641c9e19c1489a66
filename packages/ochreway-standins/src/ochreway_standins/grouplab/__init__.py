# SPDX-License-Identifier: Apache-2.0
"""Simulate group formation in virtual time on load and failure scenarios read from files."""
