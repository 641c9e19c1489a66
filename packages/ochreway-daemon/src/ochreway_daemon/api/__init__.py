# SPDX-License-Identifier: Apache-2.0
"""HTTP interfaces of the daemons."""
