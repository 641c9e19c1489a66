# SPDX-License-Identifier: Apache-2.0
"""The configuration in force: polling the store, proofs of freshness, forwarding to others."""
