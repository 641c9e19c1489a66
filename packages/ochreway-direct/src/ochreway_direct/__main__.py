# SPDX-License-Identifier: Apache-2.0
"""Run a direct entry: ``python -m ochreway_direct``."""

from ochreway_direct.main import main

main()
