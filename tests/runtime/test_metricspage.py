# SPDX-License-Identifier: Apache-2.0
import testtools
from prometheus_client.parser import text_string_to_metric_families

from ochreway_runtime.metrics import Metrics
from ochreway_runtime.metricspage import MetricsPage


class MetricsPageTests(testtools.TestCase):
    def test_counters_and_gauges_can_be_read_back(self) -> None:
        metrics = Metrics(None, "entry")
        metrics.count("refused.no_group", 3)
        metrics.count("refused.queue_full")
        metrics.count("lease.taken")
        page = MetricsPage(metrics, lambda: {"open_calls": 2.0}).render().decode()
        samples = {
            (sample.name, sample.labels.get("kind")): sample.value
            for family in text_string_to_metric_families(page)
            for sample in family.samples
        }
        expected = {
            ("ochreway_refused_total", "no_group"): 3.0,
            ("ochreway_refused_total", "queue_full"): 1.0,
            ("ochreway_lease_total", "taken"): 1.0,
            ("ochreway_open_calls", None): 2.0,
        }
        self.assertEqual(expected, samples)

    def test_a_process_that_has_counted_nothing_has_an_empty_page(self) -> None:
        self.assertEqual(b"", MetricsPage(Metrics(None, "entry")).render())
