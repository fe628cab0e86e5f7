"""The newest configuration of the store, decoded once for each version."""

from __future__ import annotations

from typing import Any

import msgspec
from attrs import frozen
from returns.result import Failure

from lynxscale.configuration.document import published_form, read_configuration

CURRENT_KEY = "config/current"
STABLE_HOSTS = 1  # hosts in ``body`` are in the form that ``configuration.hosts`` defines


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force: its version and its JSON, in a form that relays of all versions read.

    ``written``: the JSON as the operator wrote it; unset if that is the same, and in records of programs that stored
    nothing else. Such a program, after a roll back, finds in ``body`` what its relays can read.

    ``form``: how ``body`` was derived from ``written``; unset without ``written``, and in records of programs before.
    The ``body`` of these may contain another host in place of an invalid one, so relays are sent what follows from
    ``written``.
    """

    generation: int
    body: msgspec.Raw
    written: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    form: int | msgspec.UnsetType = msgspec.UNSET

    @property
    def as_written(self) -> bytes:
        """The JSON as the operator wrote it; a replacement byte for byte as it was sent."""
        return bytes(self.body if self.written is msgspec.UNSET else self.written)

    @property
    def published(self) -> bytes:
        """The JSON that relays are sent."""
        return bytes(self.body) if self.form == STABLE_HOSTS else published_form(self.as_written)

    @property
    def error(self) -> str:
        """Why relays cannot use it, empty if they can; a program before may have acknowledged what they cannot read."""
        read = read_configuration(bytes(self.body))
        return "; ".join(map(str, read.failure())) if isinstance(read, Failure) else ""


def stored_configuration(generation: int, written: bytes) -> CurrentConfiguration:
    """Return the record of an acknowledged configuration as the operator wrote it."""
    body = published_form(written)
    if body == written:
        return CurrentConfiguration(generation, msgspec.Raw(body))
    return CurrentConfiguration(generation, msgspec.Raw(body), msgspec.Raw(written), STABLE_HOSTS)


@frozen
class RouteMaxima:
    """The longest times in seconds that any route of a configuration states, 0 if none does."""

    retention_s: float = 0.0
    timeout_s: float = 0.0


class NewestConfiguration:
    """The newest configuration among a store's entries, committed or not; ``values`` are these entries in memory."""

    def __init__(self, values: dict[str, msgspec.Raw]) -> None:
        self._values = values
        self._raw: msgspec.Raw | None = None
        self._decoded: CurrentConfiguration | None = None
        self._maxima: RouteMaxima | None = None  # of that version, None until they are asked for

    def get(self) -> CurrentConfiguration | None:
        """Return the newest configuration, None if there is none yet."""
        raw = self._values.get(CURRENT_KEY)
        if raw is not self._raw:
            self._raw, self._maxima = raw, None
            self._decoded = None if raw is None else msgspec.json.decode(raw, type=CurrentConfiguration)
        return self._decoded

    @property
    def version(self) -> int:
        """The version of the newest configuration, 0 if there is none yet."""
        newest = self.get()
        return newest.generation if newest else 0

    def maxima(self) -> RouteMaxima:
        """Return the longest times of its routes."""
        newest = self.get()
        if newest is None:
            return RouteMaxima()
        if self._maxima is None:
            self._maxima = route_maxima(newest.body)
        return self._maxima


def route_maxima(body: msgspec.Raw) -> RouteMaxima:
    """Return the longest times of a configuration's routes; fields that are no numbers count as 0."""
    routes = [route for route in msgspec.json.decode(body).get("routes", ()) if isinstance(route, dict)]
    return RouteMaxima(
        max(map(retention_s, routes), default=0.0),
        max((number_of(route, "timeout-ms") / 1000.0 for route in routes), default=0.0),
    )


def retention_s(route: dict[str, Any]) -> float:
    """Return for how many seconds a route retains turns; 0 if it retains none, or does not state a number."""
    return number_of(route, "retention-s") if route.get("retained") is True else 0.0


def number_of(route: dict[str, Any], name: str) -> float:
    """Return a field of a route as a number, 0 if it is none."""
    number = route.get(name)
    return float(number) if isinstance(number, (int, float)) else 0.0
