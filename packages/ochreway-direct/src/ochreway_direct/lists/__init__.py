# SPDX-License-Identifier: Apache-2.0
"""The platform's list of targets, as it is read and followed."""
