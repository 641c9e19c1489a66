# SPDX-License-Identifier: Apache-2.0
"""Measurement of the work that callers offer."""
