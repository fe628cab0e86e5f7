"""The configuration as relays of the program before the shared definition read it: strictly by these types.

They are those of commit 080de65.
"""

from __future__ import annotations

import msgspec


class WeightedBackend(msgspec.Struct, frozen=True):
    backend: str
    weight: float


class Route(msgspec.Struct, frozen=True, rename="kebab"):
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


class Engine(msgspec.Struct, frozen=True, rename="kebab"):
    slots: int = 1
    stream_stride: int = 1
    kv_capacity_tokens: int = 0


class Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    max_connections: int = 100
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 60_000.0


class Configuration(msgspec.Struct, frozen=True, rename="kebab"):
    generation: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = ClientLimits()


def is_readable(published: bytes) -> bool:
    """Whether a relay of that program reads a published configuration."""
    try:
        msgspec.json.decode(published, type=Configuration)
    except msgspec.ValidationError:
        return False
    return True
