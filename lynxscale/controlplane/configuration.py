"""The types of the operator's configuration as decoded from JSON; its documentation defines the field names."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

from attrs import frozen

ROUTE_TYPES = ("safe", "unsafe", "streaming")


class WeightedBackend(TypedDict):
    """One service of a route that splits its traffic by weight."""

    backend: str
    weight: float


Route = TypedDict(
    "Route",
    {
        "name": str,
        "host": str,
        "path-prefix": str,
        "route-type": str,
        "timeout-ms": float,
        "target-latency-ms": float,
        "priority": NotRequired[int],
        "backend": NotRequired[str],
        "weighted-backends": NotRequired[list[WeightedBackend]],
        "max-attempts": NotRequired[int],
        "retained": NotRequired[bool],
        "retention-s": NotRequired[float],
        "session-affinity": NotRequired[bool],
        "resumable": NotRequired[bool],
        "gap_aim_ms": NotRequired[float],
    },
)


class Configuration(TypedDict):
    """A complete configuration. ``generation`` is its version."""

    generation: int
    routes: list[Route]
    services: list[dict[str, Any]]
    limits: NotRequired[dict[str, Any]]


@frozen
class Finding:
    """An error in a configuration or an update, with the path of the field, such as ``routes[0].timeout-ms``."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
