# SPDX-License-Identifier: Apache-2.0
"""Fleet-wide limit on requests to targets that may be cold."""
