# SPDX-License-Identifier: Apache-2.0
"""The ochrewayd binary: entry and agent."""
