# SPDX-License-Identifier: Apache-2.0
"""State, timing and propagation of hall drains."""
