# SPDX-License-Identifier: Apache-2.0
"""Halls and the home regions that restrict where calls are served."""
