# SPDX-License-Identifier: Apache-2.0
"""Bytes, processor time and memory per unit of each thing a daemon holds."""
