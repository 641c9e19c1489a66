# SPDX-License-Identifier: Apache-2.0
"""Infrastructure shared by all processes: logs, metrics, timers and settings."""
