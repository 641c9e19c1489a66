# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.bundle import bundle_hash, parse_bundle

GOOD = """
format = 1
name = "care"

[[model]]
name = "planner"
version = "1"
weights = "planner/1"

[[group]]
name = "care"
domain = "d1"
model = "planner"
replicas = 2
instances_per_replica = 2
instances = ["a", "b", "c", "d", "e"]

[[organisation]]
name = "kestrel"
token_sha256 = "%s"
""" % ("0" * 64)


class BundleTests(testtools.TestCase):
    def test_good_bundle_expands_replicas(self) -> None:
        bundle = parse_bundle(GOOD.encode()).unwrap()
        self.assertEqual(["care-0", "care-1"], bundle.group[0].replica_ids())
        self.assertEqual(["d1"], bundle.domains())

    def test_hash_follows_bytes(self) -> None:
        self.assertNotEqual(bundle_hash(GOOD.encode()), bundle_hash(GOOD.encode() + b"\n"))

    def faults(self, body: str) -> str:
        return "\n".join(parse_bundle(body.encode()).unwrap_err())

    def test_not_toml_names_the_line(self) -> None:
        self.assertIn("line 2", self.faults("format = 1\nname ="))

    def test_not_utf8(self) -> None:
        self.assertIn("UTF-8", parse_bundle(b"\xff").unwrap_err()[0])

    def test_unknown_key_is_named(self) -> None:
        self.assertIn("model.0.colour: unknown key", self.faults(GOOD.replace("weights", "colour")))

    def test_every_fault_is_reported(self) -> None:
        broken = GOOD.replace("replicas = 2", "replicas = 0").replace(
            'name = "planner"', "name = 7"
        )
        faults = parse_bundle(broken.encode()).unwrap_err()
        self.assertTrue(any(fault.startswith("model.0.name") for fault in faults))
        self.assertTrue(any(fault.startswith("group.0.replicas") for fault in faults))

    def test_too_few_instances(self) -> None:
        self.assertIn("too few", self.faults(GOOD.replace('"c", "d", "e"', '"c"')))

    def test_group_of_unknown_model(self) -> None:
        self.assertIn(
            "not described", self.faults(GOOD.replace('model = "planner"', 'model = "x"'))
        )

    def test_instance_in_two_groups(self) -> None:
        second = GOOD[GOOD.index("[[group]]") : GOOD.index("[[organisation]]")]
        self.assertIn("repeat", self.faults(GOOD + second.replace('"care"', '"other"')))
