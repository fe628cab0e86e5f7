"""The configuration as a relay uses it: routes by host and longest path prefix, services, limits."""

from __future__ import annotations

from random import Random

import msgspec


class WeightedBackend(msgspec.Struct, frozen=True):
    """One service of a split route."""

    backend: str
    weight: float


class Route(msgspec.Struct, frozen=True, rename="kebab"):
    """One route."""

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
        """Is the answer a series of events?"""
        return self.route_type == "streaming"

    @property
    def repeatable(self) -> bool:
        """May a request run more than once?"""
        return self.route_type == "safe" or (self.streaming and self.resumable)

    def pick_backend(self, random: Random) -> str:
        """The service for one request, by weight."""
        if not self.weighted_backends:
            return self.backend
        weights = [part.weight for part in self.weighted_backends]
        return random.choices(self.weighted_backends, weights)[0].backend


class Engine(msgspec.Struct, frozen=True, rename="kebab"):
    """A service's model engine."""

    slots: int = 1
    stream_stride: int = 1
    kv_capacity_tokens: int = 0


class Service(msgspec.Struct, frozen=True, rename="kebab"):
    """One service."""

    name: str
    max_connections: int = 100
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """What clients may send, and how long they may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 60_000.0


class Configuration(msgspec.Struct, frozen=True, rename="kebab"):
    """A whole configuration; the control plane has checked it."""

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
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of the path."""
        for route in self._by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def stride(self, service: str) -> int:
        """Tokens in each event of a service's streams."""
        engine = self.services[service].engine if service in self.services else None
        return engine.stream_stride if engine else 1

    def memory(self, service: str) -> int:
        """Tokens that each endpoint of a service can hold, 0 where it is no engine."""
        engine = self.services[service].engine if service in self.services else None
        return engine.kv_capacity_tokens if engine else 0


def decode_table(value: msgspec.Raw) -> RouteTable:
    """The table of a configuration as it was published."""
    return RouteTable(msgspec.json.decode(value, type=Configuration))
