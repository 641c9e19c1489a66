# SPDX-License-Identifier: Apache-2.0
"""What callers have received of their answers, and the planned stop that waits for it."""
