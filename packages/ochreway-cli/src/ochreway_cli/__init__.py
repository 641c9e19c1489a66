# SPDX-License-Identifier: Apache-2.0
"""The ``ochreway`` command for operators."""
