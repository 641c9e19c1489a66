# SPDX-License-Identifier: Apache-2.0
"""Clients that do not behave: what they send, how many they are, and what a process holds then."""
