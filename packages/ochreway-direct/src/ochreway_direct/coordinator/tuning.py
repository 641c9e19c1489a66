# SPDX-License-Identifier: Apache-2.0
"""Tuning of the coordinator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoordinatorTuning:
    """Durations, limits and weights of the coordinator.

    Times end in ``_s`` and are in seconds; utilities are in groups kept busy.

    Attributes:
        first_start: whether a whole site starts for the first time. Weights load quickly then, and
            their loads are not bounded before the first request.
        settle_s: the time after which a new lease holder plans although engines did not answer.
        list_whole_s: at a start without weights, how long the list must not have grown before
            loads begin.
        list_whole_at_most_s: the time after which they begin in any case.
        probes_per_s: the maximum rate of probes over all engines; each takes about 0.3 ms of
            processor time.
        probe_heard_s: the probe interval of members whose group answers entries, where silence is
            noticed at once.
        probe_free_s: the probe interval of free engines, whose changes the list shows.
        probe_drained_s: the probe interval of engines in drained halls, which get no orders.
        order_retry_s: the delay after which an order is repeated.
        order_taken_retry_s: the same if the engine has acknowledged the order, as reports lag.
        order_unseen_retry_s: the same if no report has arrived since, which happens where many
            engines change at once.
        rejoin_s: the time in which an engine joins the model that it served last.
        close_at_most_s: the time in which a closing group has to end its requests.
        swapping: whether a group is formed again without members that are at least ``swap_pace``
            times slower than usual, if its domain has others of at most ``fit_pace``. A slow
            member slows the whole group, which at that pace loses more than half of the time of
            its answers; forming it again takes a second or two.
        staging_beside: whether weights are loaded on members of groups that are wanted.
        spanning: whether groups are formed across domains.
        trading: whether groups are closed for others that are wanted more.
        repair_s: the time for which a group that lost a member is assumed to be down.
        least_gain: the utility per engine below which one more group is not planned.
        keep_bonus: the factor by which a current group is preferred to a new one.
        loads_unseen_share: the share of the load limit that a new lease holder reserves for loads
            that it cannot see.
        trade_answers: the time, in usual answers, that a traded group has to end its requests
            while a further group of its model serves, as it has not failed.
        trade_close_s: the minimum of that time.
        min_groups: the number of groups that each model with callers keeps before any model gets
            more, where they fit; 0 leaves it to utility.
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
    min_groups: int = 0

    def loads_at_most(self, per_s: float) -> int:
        """Return the maximum number of loads in one window."""
        return int(per_s * self.loads_window_s * self.loads_excess) + self.loads_spare


__all__ = ["CoordinatorTuning"]
