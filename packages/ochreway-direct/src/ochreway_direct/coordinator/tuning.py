# SPDX-License-Identifier: Apache-2.0
"""The durations and weights that forming groups depends on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoordinatorTuning:
    """Hold every duration of the coordinator, and what an idle replica is worth.

    ``swapping`` lets a group be formed anew without members that are ``swap_pace`` times slower
    than usual, which slow all of it, where its domain has others of at most ``fit_pace``; a group
    anew takes a second or two, and at that pace loses more than half of its answers' time.
    ``staging_beside`` lets weights be loaded beside those of groups that are wanted, and
    ``spanning`` lets groups be formed across domains, and ``trading`` lets some be given up for
    others that are wanted more. A group that has lost a member is taken to be down for
    ``repair_s``; one more that adds less than ``least_gain`` for each of its engines, in groups
    kept busy, is not planned, and one that stands is preferred to a new one by ``keep_bonus``.
    Members of a group whose answers entries hear are asked each ``probe_heard_s`` only, as silence
    there is noticed at once; free engines each ``probe_free_s``, as their list tells of changes.
    Engines of a hall that is drained are asked each ``probe_drained_s``, as nothing is done there.
    All together at most ``probes_per_s`` are asked, at some 0.3 ms of processor each.
    An order is repeated after ``order_retry_s``, and after ``order_taken_retry_s`` when the engine
    has acknowledged it, as reports lag; while no report has come since, which happens where many
    engines change at once, only after ``order_unseen_retry_s``. An engine joins the model that it
    served last within ``rejoin_s``. A group that is closed has ``close_at_most_s`` to end its
    requests. One that is traded while a further group of its model serves has failed in nothing: it
    has ``trade_answers`` usual answers' time, or ``trade_close_s`` if that is more.
    At the ``first_start`` of a whole site weights come quickly and their loads are not bounded
    before the first request; they begin once the list has not grown for ``list_whole_s``, or after
    ``list_whole_at_most_s``. A new holder of the lease keeps ``loads_unseen_share`` of the bound
    on loads for those that it cannot see.
    """

    first_start: bool = False
    settle_s: float = 1.5
    list_whole_s: float = 1.0
    list_whole_at_most_s: float = 4.0
    probes_per_s: float = 800.0
    probe_heard_s: float = 1.0
    probe_changing_s: float = 0.1
    probe_serving_s: float = 0.5
    probe_free_s: float = 2.0
    probe_staging_s: float = 0.25
    misses_until_dead: int = 2
    dead_probe_s: float = 1.0
    probe_drained_s: float = 2.0
    order_retry_s: float = 0.25
    order_taken_retry_s: float = 0.9
    order_unseen_retry_s: float = 4.0
    rejoin_s: float = 0.2
    form_slack_s: float = 5.0
    close_at_most_s: float = 2.5
    trade_close_s: float = 0.4
    swap_close_s: float = 0.4
    silent_share_at_most: float = 0.6
    staging_beside: bool = True
    spanning: bool = True
    trading: bool = True
    swapping: bool = True
    swap_pace: float = 2.5
    fit_pace: float = 1.5
    repair_s: float = 5.0
    least_gain: float = 0.0005
    keep_bonus: float = 2.0
    loads_window_s: float = 5.0
    loads_excess: float = 1.1
    loading_share: float = 1.0
    loads_slack_s: float = 0.3
    loads_spare: int = 2
    loads_unseen_share: float = 0.5
    trade_answers: float = 1.0

    def loads_at_most(self, per_s: float) -> int:
        """Return how many loads may begin in one window."""
        return int(per_s * self.loads_window_s * self.loads_excess) + self.loads_spare


__all__ = ["CoordinatorTuning"]
