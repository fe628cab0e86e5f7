"""The configuration as a relay uses it: routes by host and longest path prefix, services, limits.

Fields have the names of the operators' configuration (``docs/operators/configuration.md``), which are in kebab case
there. A suffix of the name gives the unit of a time.
"""

from __future__ import annotations

from random import Random

import msgspec

from lynxscale.dataplane.exceptions import UnusableConfigurationError

STREAMING, SAFE = "streaming", "safe"  # route types; requests of any other type are executed at most once


class WeightedBackend(msgspec.Struct, frozen=True):
    """One service of a route that splits its traffic by weight."""

    backend: str
    weight: float


class Route(msgspec.Struct, frozen=True, rename="kebab"):
    """A route: which requests it matches, and how they are forwarded."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 5
    backend: str = ""
    weighted_backends: tuple[WeightedBackend, ...] = ()
    max_attempts: int = 1
    retained: bool = False
    retention_s: float = 60.0
    session_affinity: bool = False
    resumable: bool = False

    @property
    def streaming(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route_type == STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.route_type == SAFE or (self.streaming and self.resumable)

    def pick_backend(self, random: Random) -> str:
        """Return the service for one request, drawn by weight; ``random`` is not used if there is only one service."""
        if not self.weighted_backends:
            return self.backend
        weights = [backend.weight for backend in self.weighted_backends]
        return random.choices(self.weighted_backends, weights)[0].backend


class Engine(msgspec.Struct, frozen=True, rename="kebab"):
    """The model engine of a service. ``stream_stride``: tokens in each event of a stream."""

    slots: int = 1
    stream_stride: int = 1
    kv_capacity_tokens: int = 0


class Service(msgspec.Struct, frozen=True, rename="kebab"):
    """A service that endpoints provide; without an engine it runs no model."""

    name: str
    max_connections: int = 100
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits on the size and duration of clients' requests, and on the idle time of their connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 60_000.0


class Configuration(msgspec.Struct, frozen=True, rename="kebab"):
    """A complete configuration; the control plane has validated it."""

    generation: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = ClientLimits()


class RouteTable:
    """Finds routes and services of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.generation = configuration.generation
        self.limits = configuration.limits
        self.services = {service.name: service for service in configuration.services}
        self.routes_by_host: dict[str, list[Route]] = {}  # the longest path prefix first
        for route in configuration.routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix; the port and case of ``host`` are ignored."""
        for route in self.routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

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
    try:
        return RouteTable(msgspec.json.decode(value, type=Configuration))
    except msgspec.ValidationError as error:
        raise UnusableConfigurationError(str(error)) from error
