"""The route table of a relay: the routes by host and longest path prefix, the services and the limits."""

from __future__ import annotations

import logging

import msgspec
from returns.result import Failure

from lynxscale.configuration.document import read_configuration
from lynxscale.configuration.hosts import normalized_host
from lynxscale.configuration.model import Configuration, Engine, Route
from lynxscale.dataplane.exceptions import UnusableConfigurationError

log = logging.getLogger(__name__)


class RouteTable:
    """Finds routes and services of one configuration.

    It lacks routes whose host is invalid, which a program before may have acknowledged: no request can match them.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.generation = configuration.generation
        self.limits = configuration.limits
        self.services = {service.name: service for service in configuration.services}
        self.routes_by_host: dict[str, list[Route]] = {}  # the longest path prefix first
        for route in configuration.routes:
            host = normalized_host(route.host)
            if host is None:
                log.warning("event=route_unreachable route=%s host=%r", route.name, route.host)
            else:
                self.routes_by_host.setdefault(host, []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix; the port and case of ``host`` are ignored."""
        normalized = normalized_host(host)
        routes = [] if normalized is None else self.routes_by_host.get(normalized, [])
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def tokens_per_event(self, service: str) -> int:
        """Return the number of tokens in each event of a service's streams."""
        engine = self._engine(service)
        return engine.stream_stride if engine else 1

    def kv_cache_tokens(self, service: str) -> int:
        """Return how many tokens the KV cache of an endpoint of the service can hold, 0 if it has no engine."""
        engine = self._engine(service)
        return engine.kv_capacity_tokens if engine else 0

    def _engine(self, service: str) -> Engine | None:
        found = self.services.get(service)
        return found.engine if found else None


def decode_route_table(value: msgspec.Raw) -> RouteTable:
    """Decode a published configuration into a route table. Raises UnusableConfigurationError."""
    configuration = read_configuration(bytes(value))
    if isinstance(configuration, Failure):
        raise UnusableConfigurationError("; ".join(map(str, configuration.failure())))
    return RouteTable(configuration.unwrap())
