# SPDX-License-Identifier: Apache-2.0
"""An entry that sends requests straight to targets, and forms groups from what engines report."""
