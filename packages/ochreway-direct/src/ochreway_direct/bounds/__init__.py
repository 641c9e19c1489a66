# SPDX-License-Identifier: Apache-2.0
"""What an entry's instance has, and how near it is to it."""
