# SPDX-License-Identifier: Apache-2.0
"""Passing callers' requests on to targets and the answers back."""
