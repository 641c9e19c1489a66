# SPDX-License-Identifier: Apache-2.0
"""Group laboratory, and minimum worth on the days of heavy load that decide between settings.

Worth is the share of the worth of all requests; an experiment's ``pattern`` describes its load and
the source of its figures. Each minimum is the mean of 32 days with the abandoned setting, plus half
of the gain of the setting in force; the tests simulate three seeds.
"""

import pathlib
import statistics
import tempfile

import testtools

from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.grouprecord import GroupPhase, PhaseCause
from ochreway_standins.engineworld import STEP_S
from ochreway_standins.grouplab.__main__ import tuning_of
from ochreway_standins.grouplab.day import Day, play
from ochreway_standins.grouplab.errors import ExperimentError
from ochreway_standins.grouplab.reader import EXPERIMENTS_DIR, experiment_names, read_experiment

SEEDS = (1, 2, 3)
FIRST_START_TUNING = CoordinatorTuning(first_start=True)


class HeavyDayTests(testtools.TestCase):
    def worth(self, name: str) -> float:
        """Return the mean worth of an experiment's days."""
        experiment = read_experiment(name)
        return statistics.fmean(play(experiment, seed, FIRST_START_TUNING).worth for seed in SEEDS)

    def test_most_work_for_the_small_model_with_engines_and_a_domain_lost(self) -> None:
        self.assertGreater(self.worth("small-model-heavy"), 0.86)

    def test_work_that_turns_from_one_model_to_the_other(self) -> None:
        self.assertGreater(self.worth("mix-turns"), 0.80)

    def test_groups_of_two_sizes_in_domains_that_they_do_not_divide(self) -> None:
        self.assertGreater(self.worth("wide-domains"), 0.93)

    def test_a_burst_while_a_quarter_of_the_engines_leaves(self) -> None:
        self.assertGreater(self.worth("burst-while-shrinking"), 0.76)


class DayTests(testtools.TestCase):
    def test_a_seed_gives_the_same_day_again(self) -> None:
        experiment = read_experiment("two-models-even")
        self.assertEqual(
            play(experiment, 5, FIRST_START_TUNING), play(experiment, 5, FIRST_START_TUNING)
        )

    def test_a_burst_begins_at_another_moment_of_each_day(self) -> None:
        experiment = read_experiment("wide-turns-large")
        begun_s = []
        for seed in SEEDS:
            moments = {burst.at_s for burst in Day(experiment, seed, FIRST_START_TUNING).bursts}
            self.assertEqual(1, len(moments), "bursts of one time come together")
            begun_s += moments
        self.assertEqual(len(SEEDS), len(set(begun_s)))
        for at_s, burst in zip(begun_s, experiment.bursts, strict=False):
            self.assertTrue(burst.at_s <= at_s <= burst.at_s + burst.spread_s)

    def test_requests_of_a_closed_group_end_there(self) -> None:
        day = Day(read_experiment("dense-engines"), 1, FIRST_START_TUNING)
        day.play_until(2.0)
        coordinator = day.world.coordinator
        group = next(
            group
            for group in coordinator.groups.values()
            if group.phase is GroupPhase.SERVING and day.servers[group.group].running
        )
        under_way = list(day.servers[group.group].running)
        group.close_timeout_s = 30.0
        group.enter(GroupPhase.CLOSING, day.world.now_s, PhaseCause.TRADED)
        while group.cause is PhaseCause.TRADED:
            day.play_until(day.played_s + STEP_S)
        self.assertIs(PhaseCause.ENDED, group.cause)
        self.assertTrue(
            all(each.first_part_s is not None and not each.interrupted for each in under_way)
        )

    def test_instant_weights_leave_little_to_lose(self) -> None:
        experiment = read_experiment("small-model-heavy")
        instant = play(experiment.with_instant_weights(), 1, FIRST_START_TUNING)
        self.assertGreater(instant.worth, play(experiment, 1, FIRST_START_TUNING).worth)


class ReaderTests(testtools.TestCase):
    def fault(self, old: str, new: str) -> ExperimentError:
        """Return the error for an experiment in which some text is replaced."""
        content = (EXPERIMENTS_DIR / "burst-while-shrinking.toml").read_text()
        assert old in content
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "changed.toml"
            path.write_text(content.replace(old, new, 1))
            return self.assertRaises(ExperimentError, read_experiment, str(path))

    def test_every_experiment_can_be_read(self) -> None:
        self.assertGreaterEqual(len(experiment_names()), 5)
        for name in experiment_names():
            self.assertEqual(name, read_experiment(name).name)

    def test_a_wrong_field_is_named(self) -> None:
        for old, new, field in (
            ("slots = 24", 'slots = "many"', "fleet.slots"),
            ("slots = 24", "slots = true", "fleet.slots"),
            ("slots = 24", "slot = 24", "fleet.slot"),
            ("per_s = 6.8", "per_s = -1.0", "loads.per_s"),
            ('model = "large"', 'model = "huge"', "requests[0].model"),
            ('request = "note"', 'request = "nothing"', "bursts[0].request"),
            ("size = 12", "size = 28", "models[0].size"),
            ("swing = 0.2", "", "wave.swing"),
            ("lead_s = 16.0", "lead_s = ", "changed.toml"),
        ):
            self.assertIn(field, self.fault(old, new).field)

    def test_an_unknown_experiment_is_an_error(self) -> None:
        self.assertRaises(ExperimentError, read_experiment, "no-such-day")


class WayTests(testtools.TestCase):
    def test_a_way_changes_the_settings_that_it_names(self) -> None:
        tuning = tuning_of("trading=false,keep_bonus=1.5")
        self.assertEqual((False, 1.5), (tuning.trading, tuning.keep_bonus))

    def test_a_wrong_way_is_an_error_that_names_the_setting(self) -> None:
        for way in ("no_such=1", "trading=maybe", "keep_bonus=much"):
            fault = self.assertRaises(ExperimentError, tuning_of, way)
            self.assertEqual(way.split("=")[0], fault.field)
