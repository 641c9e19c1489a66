# SPDX-License-Identifier: Apache-2.0
"""Bounded memory for bodies, and for answers that callers have not read yet."""
