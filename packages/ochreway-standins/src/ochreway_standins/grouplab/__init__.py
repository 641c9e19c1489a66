# SPDX-License-Identifier: Apache-2.0
"""A laboratory for forming groups: days of work and losses under virtual time, read from files."""
