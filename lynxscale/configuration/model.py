"""The fields of a configuration.

Fields have the names of the operators' documentation, which are in kebab case there. A suffix of the name gives the
unit of a time. Relays read by the types alone. The control plane also checks the ranges and the route types before it
acknowledges a configuration: a version that an earlier program acknowledged stays readable.
"""

from __future__ import annotations

from random import Random
from typing import Annotated

import msgspec
from attrs import frozen

STREAMING, SAFE, UNSAFE = "streaming", "safe", "unsafe"
ROUTE_TYPES = (SAFE, UNSAFE, STREAMING)  # requests of any other type are executed at most once
MAX_WHOLE_NUMBER = 2**63 - 1
MAX_NUMBER = 1e15
MAXIMUM = {int: MAX_WHOLE_NUMBER, float: MAX_NUMBER}
"""The greatest number of each type that a field with a ``Range`` may have."""


@frozen
class Range:
    """The values that a number may have. ``above``: an exclusive minimum."""

    minimum: float | None = None
    above: float | None = None

    def violation(self, number: float, maximum: float) -> str:
        """Return what is wanted in place of a number, empty if it is in the range."""
        if self.minimum is not None and number < self.minimum:
            return f"{self.minimum:g} or more"
        if self.above is not None and number <= self.above:
            return f"more than {self.above:g}"
        return f"{maximum:g} at most" if number > maximum else ""


@frozen
class NotEmpty:
    """A text that has at least one character."""


Count = Annotated[int, Range(minimum=1)]
Amount = Annotated[int, Range(minimum=0)]
Duration = Annotated[float, Range(above=0)]
Weight = Annotated[float, Range(minimum=0)]
Name = Annotated[str, NotEmpty()]


class WeightedBackend(msgspec.Struct, frozen=True):
    """One service of a route that splits its traffic by weight."""

    backend: str
    weight: Weight


class Route(msgspec.Struct, frozen=True, rename="kebab"):
    """A route: which requests it matches, and how they are forwarded."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: Duration
    target_latency_ms: Weight = 1000.0
    priority: Amount = 5
    backend: str = ""
    weighted_backends: tuple[WeightedBackend, ...] = ()
    max_attempts: Count = 1
    retained: bool = False
    retention_s: Weight = 60.0
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

    slots: Count = 1
    stream_stride: Count = 1
    kv_capacity_tokens: Amount = 0


class Service(msgspec.Struct, frozen=True, rename="kebab"):
    """A service that endpoints provide; without an engine it runs no model."""

    name: Name
    max_connections: Count = 100
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits on the size and duration of clients' requests, and on the idle time of their connections."""

    max_header_bytes: Count = 16384
    max_body_bytes: Amount = 4 * 1024 * 1024
    header_timeout_ms: Duration = 5000.0
    idle_timeout_ms: Duration = 60_000.0


class Configuration(msgspec.Struct, frozen=True, rename="kebab"):
    """A complete configuration."""

    generation: Amount
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = ClientLimits()
