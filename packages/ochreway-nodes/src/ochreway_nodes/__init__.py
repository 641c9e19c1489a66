# SPDX-License-Identifier: Apache-2.0
"""The entry, agent and controller as state machines that do no I/O themselves."""
