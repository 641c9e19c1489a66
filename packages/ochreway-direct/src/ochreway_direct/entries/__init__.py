# SPDX-License-Identifier: Apache-2.0
"""The other entries: who they are, who tells whom, and what they tell each other."""
