# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import OrganisationId, Version
from ochreway_direct.configuration import Configuration, Organisation, Route, RouteKind, Share
from ochreway_direct.ids import ServiceName
from ochreway_direct.versions.freshness import KEY_TRUST_CHECKS, Freshness, KeyTrust
from ochreway_direct.versions.routetable import RouteTable


def route(prefix: str, host: str = "care.example") -> Route:
    shares = (Share(ServiceName("models"), 1),)
    return Route(prefix, host, prefix, RouteKind.SAFE, False, False, 1, 1.0, 0.5, 0.1, 1, shares)


class RouteTableTests(testtools.TestCase):
    def table(self, *prefixes: str) -> RouteTable:
        organisation = Organisation(OrganisationId("ann"), ("k1", "k2"))
        routes = tuple(route(prefix) for prefix in prefixes)
        return RouteTable(Configuration(Version(3), routes, (), (organisation,)))

    def matched_prefix(
        self, table: RouteTable, path: str, host: str = "care.example"
    ) -> str | None:
        matched = table.route(host, path)
        return matched.prefix if matched is not None else None

    def test_the_longest_prefix_wins(self) -> None:
        table = self.table("/a/", "/a/b/")
        self.assertEqual("/a/b/", self.matched_prefix(table, "/a/b/c"))
        self.assertEqual("/a/", self.matched_prefix(table, "/a/bc"))

    def test_a_prefix_matches_whole_parts_only(self) -> None:
        self.assertIsNone(self.matched_prefix(self.table("/a/"), "/ab/c"))
        self.assertIsNone(self.matched_prefix(self.table("/a/"), "/a"))

    def test_the_host_has_to_be_the_routes(self) -> None:
        table = self.table("/")
        self.assertIsNone(self.matched_prefix(table, "/x", "other.example"))
        self.assertEqual("/", self.matched_prefix(table, "/x", "CARE.example"))

    def test_a_key_names_its_organisation(self) -> None:
        table = self.table("/")
        self.assertEqual("ann", table.organisation("k2").name)  # type: ignore[union-attr]
        self.assertIsNone(table.organisation("k3"))


class FreshnessTests(testtools.TestCase):
    def test_the_age_of_a_proof_counts_from_its_poll(self) -> None:
        freshness = Freshness(4.5)
        self.assertFalse(freshness.proved(100.0))
        freshness.prove(100.0)
        self.assertTrue(freshness.proved(104.4))
        self.assertFalse(freshness.proved(104.5))

    def test_keys_are_refused_or_trusted_without_proof_as_is_set(self) -> None:
        closed, opened = Freshness(4.5), Freshness(4.5, KeyTrust.LAST_KNOWN)
        self.assertEqual(set(KeyTrust), set(KEY_TRUST_CHECKS))
        self.assertEqual((False, True), (closed.keys_trusted(9.0), opened.keys_trusted(9.0)))
        for freshness in (closed, opened):
            freshness.prove(9.0)
            self.assertTrue(freshness.keys_trusted(9.1))

    def test_an_older_proof_changes_nothing(self) -> None:
        freshness = Freshness(4.5)
        freshness.prove(100.0)
        freshness.prove(90.0)
        self.assertEqual(1.0, freshness.age_s(101.0))
