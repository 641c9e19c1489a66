# SPDX-License-Identifier: Apache-2.0
"""Reading and tracking of the platform's list of targets."""
