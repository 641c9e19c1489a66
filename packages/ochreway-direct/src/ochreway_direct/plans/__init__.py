# SPDX-License-Identifier: Apache-2.0
"""Log events about plans."""
