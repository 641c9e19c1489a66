# SPDX-License-Identifier: Apache-2.0
"""Links between the processes of ochreway."""
