# SPDX-License-Identifier: Apache-2.0
"""The ochrewayd binary, which runs entries and agents."""
