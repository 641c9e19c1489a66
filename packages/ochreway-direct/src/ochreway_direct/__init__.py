# SPDX-License-Identifier: Apache-2.0
"""An entry that sends requests directly to targets, and forms groups from reported states."""
