# SPDX-License-Identifier: Apache-2.0
"""Request limits announced by targets, enforced by all entries together."""
