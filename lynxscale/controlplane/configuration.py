"""The operator's configuration: its shape, and a checker that collects all findings with their places."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NotRequired, TypedDict

import msgspec
from attrs import frozen
from returns.result import Failure, Result, Success

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
        "weighted-backends": NotRequired[list],
        "max-attempts": NotRequired[int],
        "retained": NotRequired[bool],
        "retention-s": NotRequired[float],
        "session-affinity": NotRequired[bool],
        "resumable": NotRequired[bool],
        "gap_aim_ms": NotRequired[float],
    },
)


class WeightedBackend(TypedDict):
    """One service of a split route."""

    backend: str
    weight: float


class Configuration(TypedDict):
    """A whole configuration."""

    generation: int
    routes: list[Route]
    services: list[dict]
    limits: NotRequired[dict]


@frozen
class Finding:
    """What is wrong, and where."""

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


ROUTE_TYPES = ("safe", "unsafe", "streaming")
REQUIRED_ROUTE_FIELDS: dict[str, type | tuple[type, ...]] = {
    "name": str,
    "host": str,
    "path-prefix": str,
    "route-type": str,
    "timeout-ms": (int, float),
}


def check(body: bytes) -> Result[Configuration, tuple[Finding, ...]]:
    """The configuration of a request's body, or everything that is wrong with it."""
    return decode_table(body).bind(check_table)


def decode_table(body: bytes) -> Result[dict, tuple[Finding, ...]]:
    """The object of a request's body, unchecked."""
    try:
        table = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return Failure((Finding("body", str(error)),))
    if not isinstance(table, dict):
        return Failure((Finding("body", "want an object"),))
    return Success(table)


def check_table(table: dict) -> Result[Configuration, tuple[Finding, ...]]:
    """The same object where it is a valid configuration, or everything that is wrong with it."""
    findings = tuple(_findings(table))
    return Failure(findings) if findings else Success(table)


def generation_findings(table: dict) -> Iterator[Finding]:
    """What is wrong with the version of a configuration or an update."""
    if type(table.get("generation")) is not int:
        yield Finding("generation", "want a whole number")


def _findings(table: dict) -> Iterator[Finding]:
    yield from generation_findings(table)
    for name in ("routes", "services"):
        if not isinstance(table.get(name), list):
            yield Finding(name, "want a list")
    routes = table.get("routes")
    services = table.get("services")
    if not isinstance(routes, list) or not isinstance(services, list):
        return
    yield from _entries("services", services, _service_findings)
    names = {service.get("name") for service in services if isinstance(service, dict)}
    yield from _entries("routes", routes, lambda place, route: _route_findings(place, route, names))
    yield from _same_places(routes)


def _entries(name: str, entries: list, findings: Callable[[str, dict], Iterator[Finding]]) -> Iterator[Finding]:
    for number, entry in enumerate(entries):
        place = f"{name}[{number}]"
        if isinstance(entry, dict):
            yield from findings(place, entry)
        else:
            yield Finding(place, "want an object")


def _service_findings(place: str, service: dict) -> Iterator[Finding]:
    if not isinstance(service.get("name"), str) or not service["name"]:
        yield Finding(f"{place}.name", "want a name")


def _route_findings(place: str, route: dict, services: set) -> Iterator[Finding]:
    for field, kind in REQUIRED_ROUTE_FIELDS.items():
        if not isinstance(route.get(field), kind) or isinstance(route.get(field), bool):
            yield Finding(f"{place}.{field}", "missing, or of another type")
    timeout = route.get("timeout-ms")
    if isinstance(timeout, (int, float)) and timeout <= 0:
        yield Finding(f"{place}.timeout-ms", "want more than 0")
    if isinstance(route.get("route-type"), str) and route["route-type"] not in ROUTE_TYPES:
        yield Finding(f"{place}.route-type", f"want one of {', '.join(ROUTE_TYPES)}")
    yield from _target_findings(place, route, services)


def _target_findings(place: str, route: dict, services: set) -> Iterator[Finding]:
    split = route.get("weighted-backends")
    if split is None:
        if route.get("backend") not in services:
            yield Finding(f"{place}.backend", f"no service is called {route.get('backend')!r}")
        return
    if not isinstance(split, list) or not all(isinstance(part, dict) for part in split):
        yield Finding(f"{place}.weighted-backends", "want a list of objects")
        return
    total = 0.0
    for number, part in enumerate(split):
        if part.get("backend") not in services:
            yield Finding(f"{place}.weighted-backends[{number}].backend", f"no service {part.get('backend')!r}")
        weight = part.get("weight")
        if not isinstance(weight, (int, float)) or weight < 0:
            yield Finding(f"{place}.weighted-backends[{number}].weight", "want 0 or more")
        else:
            total += weight
    if total <= 0:
        yield Finding(f"{place}.weighted-backends", "the weights sum to 0")


def _same_places(routes: list) -> Iterator[Finding]:
    first: dict[tuple, int] = {}
    for number, route in enumerate(routes):
        if isinstance(route, dict):
            key = (route.get("host"), route.get("path-prefix"))
            if key in first:
                yield Finding(f"routes[{number}]", f"host and path-prefix are those of routes[{first[key]}]")
            first.setdefault(key, number)
