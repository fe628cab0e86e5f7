"""Checks a configuration and collects all findings, each with its path, so that an operator can correct all together.

A check returns ``Success`` with the configuration, or ``Failure`` with a non-empty tuple of findings.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, cast

import msgspec
from returns.result import Failure, Result, Success

from lynxscale.controlplane.configuration import ROUTE_TYPES, Configuration, Finding

Findings = tuple[Finding, ...]

REQUIRED_ROUTE_FIELDS: dict[str, type | tuple[type, ...]] = {
    "name": str,
    "host": str,
    "path-prefix": str,
    "route-type": str,
    "timeout-ms": (int, float),
}


def check_configuration(body: bytes) -> Result[Configuration, Findings]:
    """Decode and check the configuration in a request's body."""
    return decode_object(body).bind(check_decoded)


def decode_object(body: bytes) -> Result[dict[str, Any], Findings]:
    """Decode the JSON object in a request's body without checking its fields."""
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return Failure((Finding("body", str(error)),))
    if not isinstance(decoded, dict):
        return Failure((Finding("body", "want an object"),))
    return Success(decoded)


def check_decoded(decoded: dict[str, Any]) -> Result[Configuration, Findings]:
    """Check a decoded object; return the same object if it is a valid configuration."""
    findings = tuple(_configuration_findings(decoded))
    return Failure(findings) if findings else Success(cast(Configuration, decoded))


def generation_findings(decoded: dict[str, Any]) -> Iterator[Finding]:
    """Yield the findings on the version of a configuration or an update."""
    if type(decoded.get("generation")) is not int:
        yield Finding("generation", "want a whole number")


def _configuration_findings(decoded: dict[str, Any]) -> Iterator[Finding]:
    yield from generation_findings(decoded)
    routes = decoded.get("routes")
    services = decoded.get("services")
    for name, entries in (("routes", routes), ("services", services)):
        if not isinstance(entries, list):
            yield Finding(name, "want a list")
    if not isinstance(routes, list) or not isinstance(services, list):
        return
    yield from _entry_findings("services", services, _service_findings)
    names = {service.get("name") for service in services if isinstance(service, dict)}
    yield from _entry_findings("routes", routes, lambda path, route: _route_findings(path, route, names))
    yield from _duplicate_match_findings(routes)


def _entry_findings(
    name: str, entries: list[Any], findings: Callable[[str, dict[str, Any]], Iterator[Finding]]
) -> Iterator[Finding]:
    for index, entry in enumerate(entries):
        path = f"{name}[{index}]"
        if isinstance(entry, dict):
            yield from findings(path, entry)
        else:
            yield Finding(path, "want an object")


def _service_findings(path: str, service: dict[str, Any]) -> Iterator[Finding]:
    if not isinstance(service.get("name"), str) or not service["name"]:
        yield Finding(f"{path}.name", "want a name")


def _route_findings(path: str, route: dict[str, Any], services: set[Any]) -> Iterator[Finding]:
    for field, kind in REQUIRED_ROUTE_FIELDS.items():
        if not isinstance(route.get(field), kind) or isinstance(route.get(field), bool):
            yield Finding(f"{path}.{field}", "missing, or of another type")
    timeout = route.get("timeout-ms")
    if isinstance(timeout, (int, float)) and timeout <= 0:
        yield Finding(f"{path}.timeout-ms", "want more than 0")
    if isinstance(route.get("route-type"), str) and route["route-type"] not in ROUTE_TYPES:
        yield Finding(f"{path}.route-type", f"want one of {', '.join(ROUTE_TYPES)}")
    yield from _target_findings(path, route, services)


def _target_findings(path: str, route: dict[str, Any], services: set[Any]) -> Iterator[Finding]:
    split = route.get("weighted-backends")
    if split is None:
        if route.get("backend") not in services:
            yield Finding(f"{path}.backend", f"no service is called {route.get('backend')!r}")
    elif isinstance(split, list) and all(isinstance(target, dict) for target in split):
        yield from _split_findings(f"{path}.weighted-backends", split, services)
    else:
        yield Finding(f"{path}.weighted-backends", "want a list of objects")


def _split_findings(path: str, split: list[dict[str, Any]], services: set[Any]) -> Iterator[Finding]:
    total = 0.0
    for index, target in enumerate(split):
        if target.get("backend") not in services:
            yield Finding(f"{path}[{index}].backend", f"no service {target.get('backend')!r}")
        weight = target.get("weight")
        if not isinstance(weight, (int, float)) or weight < 0:
            yield Finding(f"{path}[{index}].weight", "want 0 or more")
        else:
            total += weight
    if total <= 0:
        yield Finding(path, "the weights sum to 0")


def _duplicate_match_findings(routes: list[Any]) -> Iterator[Finding]:
    """Yield a finding for each route with the host and path prefix of an earlier one."""
    first: dict[tuple[Any, Any], int] = {}
    for index, route in enumerate(routes):
        if not isinstance(route, dict):
            continue
        match = (route.get("host"), route.get("path-prefix"))
        if match in first:
            yield Finding(f"routes[{index}]", f"host and path-prefix are those of routes[{first[match]}]")
        first.setdefault(match, index)
