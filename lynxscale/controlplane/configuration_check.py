"""Checks a configuration and collects all findings, each with its path, so that an operator can correct all together.

What passes is read by relays: both go by ``lynxscale.configuration.model``. A check returns ``Success`` with the
configuration, or ``Failure`` with a non-empty tuple of findings.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, cast

import msgspec
from returns.result import Failure, Result, Success

from lynxscale.configuration.constrained_types import has_valid_fields
from lynxscale.configuration.document import Document, comparable_form, read_document
from lynxscale.configuration.field_check import struct_findings, value_findings
from lynxscale.configuration.field_rules import field_rules
from lynxscale.configuration.finding import Finding, Findings
from lynxscale.configuration.model import ROUTE_TYPES, Route, Service, WeightedBackend
from lynxscale.configuration.model import Configuration as TypedConfiguration
from lynxscale.configuration.route_syntax import host_violation, normalized_route_host, path_prefix_violation
from lynxscale.configuration.whole_numbers import as_whole_number
from lynxscale.controlplane.configuration import Configuration

ENTRY_LISTS = ("routes", "services")
MATCH_VIOLATIONS: dict[str, Callable[[str], str]] = {"host": host_violation, "path-prefix": path_prefix_violation}
"""The fields by which a route matches requests, each with the function that checks it."""


def check_configuration(body: bytes) -> Result[Configuration, Findings]:
    """Decode and check the configuration in a request's body."""
    return read_document(body).bind(check_document)


def check_document(document: Document) -> Result[Configuration, Findings]:
    """Check a document; return the same object, its numbers as they were written, if it is a valid configuration."""
    findings = tuple(_configuration_findings(comparable_form(document)))
    return Failure(findings) if findings else Success(cast(Configuration, document))


def generation_findings(document: Document) -> Iterator[Finding]:
    """Yield the findings on the version of a configuration or an update."""
    generation = {"generation": as_whole_number(document.get("generation"))}
    yield from _field_findings(generation, "generation")


def _configuration_findings(document: Document) -> Iterator[Finding]:
    yield from generation_findings(document)
    missing = [name for name in ENTRY_LISTS if not isinstance(document.get(name), list)]
    yield from (Finding(name, "want a list") for name in missing)
    if missing:
        return
    routes, services = document["routes"], document["services"]
    fields_are_valid = has_valid_fields(document, TypedConfiguration)
    if not fields_are_valid:
        for index, service in enumerate(services):
            yield from struct_findings(f"services[{index}]", service, Service)
    names = {service["name"] for service in services if _has_name(service)}
    for index, route in enumerate(routes):
        yield from _route_findings(f"routes[{index}]", route, names, fields_are_valid)
    yield from _duplicate_match_findings(routes)
    if "limits" in document and not fields_are_valid:
        yield from _field_findings(document, "limits")


def _field_findings(document: Document, name: str) -> Iterator[Finding]:
    """Yield the findings on one field of the configuration itself."""
    rule = next(rule for rule in field_rules(TypedConfiguration) if rule.name == name)
    yield from value_findings(name, document[name], rule)


def _has_name(entry: Any) -> bool:
    return isinstance(entry, dict) and isinstance(entry.get("name"), str)


def _route_findings(path: str, entry: Any, services: set[str], fields_are_valid: bool) -> Iterator[Finding]:
    """Yield the findings on a route: on its fields, and, if these are of the right types, on what they say together."""
    findings = [] if fields_are_valid else struct_findings(path, entry, Route)
    yield from findings
    yield from _match_findings(path, entry)
    if findings:
        return
    route = msgspec.convert(entry, Route)
    if route.route_type not in ROUTE_TYPES:
        yield Finding(f"{path}.route-type", f"want one of {', '.join(ROUTE_TYPES)}")
    if "weighted-backends" in entry:
        yield from _split_findings(f"{path}.weighted-backends", route.weighted_backends, services)
    if ("backend" in entry or not route.weighted_backends) and route.backend not in services:
        yield Finding(f"{path}.backend", f"no service is called {route.backend!r}")


def _match_findings(path: str, entry: Any) -> Iterator[Finding]:
    """Yield a finding for each field because of which no request can match the route."""
    if not isinstance(entry, dict):
        return
    for name, violation in MATCH_VIOLATIONS.items():
        value = entry.get(name)
        if isinstance(value, str) and (wanted := violation(value)):
            yield Finding(f"{path}.{name}", f"want {wanted}")


def _split_findings(path: str, split: tuple[WeightedBackend, ...], services: set[str]) -> Iterator[Finding]:
    for index, target in enumerate(split):
        if target.backend not in services:
            yield Finding(f"{path}[{index}].backend", f"no service {target.backend!r}")
    if sum(target.weight for target in split) <= 0:
        yield Finding(path, "the weights sum to 0")


def _duplicate_match_findings(routes: list[Any]) -> Iterator[Finding]:
    """Yield a finding for each route with the host and path prefix of an earlier one."""
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        match = _match_of(route)
        if match is None:
            continue
        if match in first:
            yield Finding(f"routes[{index}]", f"host and path-prefix are those of routes[{first[match]}]")
        first.setdefault(match, index)


def _match_of(route: Any) -> tuple[str, str] | None:
    """Return the host and path prefix of a route as relays compare them, None if one of them is missing or invalid."""
    host, prefix = (route.get("host"), route.get("path-prefix")) if isinstance(route, dict) else (None, None)
    normalized = normalized_route_host(host) if isinstance(host, str) else None
    return (normalized, prefix) if normalized is not None and isinstance(prefix, str) else None
