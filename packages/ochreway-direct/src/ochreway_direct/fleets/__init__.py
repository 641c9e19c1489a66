# SPDX-License-Identifier: Apache-2.0
"""An entry's view of groups and targets, and the choice among them."""
