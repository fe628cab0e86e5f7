"""Configurations drawn by their grammar: the same one written in another way, and one with a fault put in.

JSON has one kind of number, hosts are compared in lower case and without their port, a route with one service may split
its traffic, and members that no program knows are ignored. So a relay must do the same by each of the forms. A route
that no request can match is a fault.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from random import Random
from typing import Any

FLOAT_PROBABILITY = 0.3  # that a whole number is written as 2.0
SPLIT_PROBABILITY = 0.3  # that a route splits its traffic, all of which goes to one service
UNKNOWN_PROBABILITY = 0.3  # that an object has a member that no program knows
FAULT_PROBABILITY = 0.3  # that an operator sends one with a fault before a change
UNKNOWN_NAMES = ("note", "gap_aim_ms", "x-limits")
UNKNOWN_VALUES: tuple[Any, ...] = (None, 7.5, "a:b", [], {"a": {"a": [1, 2.0]}}, -1)
PORT = 8080
INVALID_HOSTS = (
    "a b",
    "tier.example/",
    "user@tier.example",
    "tier.example:80:90",
    "*.example",
    ":80",
    "::1",
    "t\u00fcr",
)
INVALID_PREFIXES = ("", "x", "x/", "/x", "/x/?y/", "/x#/", "/a b/", "/ni\u00f1o/")
WRONG_VALUES: tuple[Any, ...] = (None, [], {}, [[]], True, "x", -1, 2.5)


class ConfigurationGrammar:
    """Draws from a seeded generator of its own, so that the other draws of a history stay as they are."""

    def __init__(self, seed: str) -> None:
        self._random = Random(f"configuration grammar {seed}")
        self._faults: tuple[Callable[[dict], None], ...] = (
            self._name_unknown_service,
            self._repeat_match,
            self._clear_weights,
            self._clear_timeout,
            self._leave_out,
            self._put_wrong_value,
            self._make_unreachable,
        )

    def varied(self, configuration: dict) -> dict:
        """The same configuration, written in another way."""
        varied = deepcopy(configuration)
        for route in varied["routes"]:
            self._vary_route(route)
        return self._with_other_numbers(varied)

    def draws_fault(self) -> bool:
        """Whether the operator sends a configuration with a fault before the next change."""
        return self._random.random() < FAULT_PROBABILITY

    def with_fault(self, configuration: dict) -> dict:
        """A configuration with one fault, for which it must be refused."""
        faulty = deepcopy(configuration)
        self._random.choice(self._faults)(faulty)
        return faulty

    def with_repeated_match(self, configuration: dict) -> dict:
        """A configuration two routes of which have the same host and path prefix."""
        faulty = deepcopy(configuration)
        self._repeat_match(faulty)
        return faulty

    # Other ways to write it --------------------------------------------------------------------------

    def _vary_route(self, route: dict) -> None:
        host = route["host"].partition(":")[0]
        route["host"] = self._random.choice((host, host.upper(), host.title(), f"{host}:{PORT}"))
        if "backend" in route and self._random.random() < SPLIT_PROBABILITY:
            route["weighted-backends"] = [{"backend": route.pop("backend"), "weight": self._random.choice((1, 0.25))}]

    def _with_other_numbers(self, value: Any) -> Any:
        if isinstance(value, list):
            return [self._with_other_numbers(entry) for entry in value]
        if isinstance(value, dict):
            varied = {name: self._with_other_numbers(entry) for name, entry in value.items()}
            if self._random.random() < UNKNOWN_PROBABILITY:
                varied[self._random.choice(UNKNOWN_NAMES)] = self._random.choice(UNKNOWN_VALUES)
            return varied
        if type(value) is int and self._random.random() < FLOAT_PROBABILITY:
            return float(value)
        return value

    # Faults ------------------------------------------------------------------------------------------

    def _route(self, configuration: dict) -> dict:
        return self._random.choice(configuration["routes"])

    def _name_unknown_service(self, configuration: dict) -> None:
        self._route(configuration)["backend"] = "nobody"

    def _repeat_match(self, configuration: dict) -> None:
        route = self._route(configuration)
        repeated = {"name": "repeated", "host": route["host"].partition(":")[0].swapcase()}
        configuration["routes"].append(route | repeated)

    def _clear_weights(self, configuration: dict) -> None:
        service = configuration["services"][0]["name"]
        self._route(configuration)["weighted-backends"] = [{"backend": service, "weight": 0}]

    def _clear_timeout(self, configuration: dict) -> None:
        self._route(configuration)["timeout-ms"] = self._random.choice((0, 0.0, -1))

    def _leave_out(self, configuration: dict) -> None:
        members = [(configuration, name) for name in ("generation", "routes", "services")]
        members += [(self._route(configuration), name) for name in ("name", "host", "path-prefix", "route-type")]
        parent, name = self._random.choice(members)
        del parent[name]

    def _make_unreachable(self, configuration: dict) -> None:
        name, values = self._random.choice((("host", INVALID_HOSTS), ("path-prefix", INVALID_PREFIXES)))
        self._route(configuration)[name] = self._random.choice(values)

    def _put_wrong_value(self, configuration: dict) -> None:
        """Give a member that has a whole number at least 1 a value that is none."""
        route, service = self._route(configuration), self._random.choice(configuration["services"])
        members = [(route, "max-attempts"), (service, "max-connections"), (configuration["limits"], "max-header-bytes")]
        parent, name = self._random.choice(members)
        parent[name] = self._random.choice(WRONG_VALUES)
