# SPDX-License-Identifier: Apache-2.0
"""The ochreway binary: the operator command."""
