# SPDX-License-Identifier: Apache-2.0
"""Messages between processes, by subject."""

from ochreway_core.crashnews import CrashNews
from ochreway_core.messages.claims import Claim, ClaimEnd, ClaimReply, Vote
from ochreway_core.messages.configuration import (
    FollowView,
    GroupsUpdate,
    HallsUpdate,
    LeaveNotice,
    ListingUpdate,
    ViewDelta,
    ViewNotice,
    ViewRequest,
    ViewUpdate,
)
from ochreway_core.messages.membership import (
    Dismiss,
    Follow,
    Grant,
    GrantRefusal,
    Heartbeat,
    LoadReport,
    Order,
    Probe,
    Release,
    Report,
    Warm,
)
from ochreway_core.messages.requests import (
    Cancel,
    Credit,
    Frame,
    Refusal,
    Settled,
    Submit,
    Withdraw,
)

__all__ = [
    "Cancel",
    "Claim",
    "ClaimEnd",
    "ClaimReply",
    "CrashNews",
    "Credit",
    "Dismiss",
    "Follow",
    "FollowView",
    "Frame",
    "Grant",
    "GrantRefusal",
    "GroupsUpdate",
    "HallsUpdate",
    "Heartbeat",
    "LeaveNotice",
    "ListingUpdate",
    "LoadReport",
    "Order",
    "Probe",
    "Refusal",
    "Release",
    "Report",
    "Settled",
    "Submit",
    "ViewDelta",
    "ViewNotice",
    "ViewRequest",
    "ViewUpdate",
    "Vote",
    "Warm",
    "Withdraw",
]
