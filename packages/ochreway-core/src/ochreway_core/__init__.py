# SPDX-License-Identifier: Apache-2.0
"""Types, messages and decision logic of ochreway, free of I/O."""
