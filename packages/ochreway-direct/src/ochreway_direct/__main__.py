# SPDX-License-Identifier: Apache-2.0
"""Run a direct entry: ``python -m ochreway_direct``."""

import gc

# Nothing that an import makes becomes garbage, and looking for it there takes a tenth of a second,
# for which a restarted entry is missing.
gc.disable()

from ochreway_direct.earlylistener import listen_early  # noqa: E402

listen_early()

from ochreway_direct.main import main  # noqa: E402

gc.freeze()
gc.enable()
main()
