# SPDX-License-Identifier: Apache-2.0
"""Lookup of the route and the organisation of a request in an accepted configuration."""

from collections import defaultdict

from ochreway_core.ids import RegionId, Version
from ochreway_direct.configuration import Configuration, Organisation, Route, Service
from ochreway_direct.ids import ServiceName


class RouteTable:
    """Index a configuration by host and prefix, key and service."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in configuration.routes:
            self._routes[route.host.lower()][route.prefix] = route
        self._services = {service.name: service for service in configuration.services}
        self._keys = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.ordered_services = self._services_of_several_priorities()
        home_lists = [each.homes for each in configuration.routes]
        home_lists += [each.homes for each in configuration.organisations]
        self.homes: frozenset[RegionId] = frozenset().union(*home_lists)

    def _services_of_several_priorities(self) -> frozenset[ServiceName]:
        """Return the services with engines to which routes of different priority lead."""
        priorities: defaultdict[ServiceName, set[int]] = defaultdict(set)
        for route in self.configuration.routes:
            for share in route.shares:
                priorities[share.service].add(route.priority)
        return frozenset(
            service.name
            for service in self.configuration.services
            if service.engine is not None and len(priorities[service.name]) > 1
        )

    def longest_objective_s(self, name: ServiceName) -> float:
        """Return the longest objective of the routes that lead to a service; 0 without any."""
        return max(
            (
                route.objective_s
                for route in self.configuration.routes
                if any(share.service == name for share in route.shares)
            ),
            default=0.0,
        )

    @property
    def version(self) -> Version:
        """Return the version of the indexed configuration."""
        return self.configuration.version

    @property
    def requires_keys(self) -> bool:
        """Return whether callers have to present a key."""
        return bool(self.configuration.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path; prefixes end in a slash."""
        prefixes = self._routes.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            matching_route = prefixes.get(path[: end + 1])
            if matching_route is not None:
                return matching_route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._keys.get(key)

    def service(self, name: ServiceName) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)


__all__ = ["RouteTable"]
