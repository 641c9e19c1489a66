# SPDX-License-Identifier: Apache-2.0
"""What every process shares: logs, metrics, timer, settings."""
