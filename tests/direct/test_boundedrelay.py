# SPDX-License-Identifier: Apache-2.0
"""What is required of every relay holds with a bound on memory as well."""

from ochreway_direct.buffering.heldlimits import HeldLimits
from tests.direct import test_limits, test_relay

HELD = HeldLimits(total_bytes=8 * 1024 * 1024)


class BoundedSafeTests(test_relay.SafeTests):
    held = HELD


class BoundedUnsafeTests(test_relay.UnsafeTests):
    held = HELD


class BoundedAdmissionTests(test_relay.AdmissionTests):
    held = HELD


class BoundedStreamTests(test_relay.StreamTests):
    held = HELD


class BoundedLateResumptionTests(test_relay.LateResumptionTests):
    held = HELD


class BoundedLimitTests(test_limits.LimitTests):
    held = HELD


class BoundedCallerGoneTests(test_relay.CallerGoneTests):
    held = HELD
