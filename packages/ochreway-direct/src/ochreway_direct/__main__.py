# SPDX-License-Identifier: Apache-2.0
"""Run a direct entry: ``python -m ochreway_direct``."""

import gc

# Imports create no garbage, and collecting it would take a tenth of a second, by which a restarted
# entry would be unavailable for longer.
gc.disable()

from ochreway_direct.earlylistener import listen_early  # noqa: E402
from ochreway_runtime.earlysignals import hold_signals  # noqa: E402

hold_signals()
listen_early()

from ochreway_direct.main import main  # noqa: E402

gc.freeze()
gc.enable()
main()
