# SPDX-License-Identifier: Apache-2.0
"""The configuration in force: read, proved to be the newest, shared."""
