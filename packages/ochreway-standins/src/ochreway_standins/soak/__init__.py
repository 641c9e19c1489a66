# SPDX-License-Identifier: Apache-2.0
"""Long randomised runs of the real nodes under virtual time."""
