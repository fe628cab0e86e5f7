"""Routes that an operator adds, retains, moves and removes, and when clients may rely on each.

A turn is sent on a route only while a configuration that is acknowledged retains the turns of that route, and no
configuration without it was sent. What a relay answers is judged by the same times.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import inf
from random import Random

from lab.tier.simulated_tier import MODEL, default_configuration

OTHER_MODEL = "model-2"
"""A second service of model endpoints, to which routes are moved."""
RESUMABLE_ROUTE = "held"
SHORT_ROUTE, SHORT_RETENTION_S = "short", 1.0
"""A route whose turns expire within a run."""
MAX_ROUTES = 6
RETENTION_S = 900.0  # longer than any run
FIRST_RETAINED_SHARE = 0.6  # share of the added routes that retain turns at once; the others may begin to later
MIN_VERSION_STEP, MAX_VERSION_STEP = 1, 3


@dataclass
class ChangingRoute:
    """One route. ``retained_at``: when a configuration that retains its turns was acknowledged; infinite before.

    ``removed_at``: when the first configuration without it was sent; times in seconds.
    """

    name: str
    retained: bool
    backend: str = MODEL
    retained_at: float = inf
    removed_at: float = inf

    @property
    def path(self) -> str:
        """The path of requests on the route."""
        return f"/{self.name}/stream"

    def usable(self, now: float) -> bool:
        """Whether clients may send turns on it."""
        return self.retained_at <= now < self.removed_at

    def fields(self) -> dict:
        """The route in the operator's configuration."""
        common = default_configuration()["routes"][0]
        return common | {
            "name": self.name,
            "path-prefix": f"/{self.name}/",
            "retained": self.retained,
            "retention-s": RETENTION_S,
            "backend": self.backend,
        }


class ChangingRoutes:
    """All routes of a run, and the next change of them.

    ``other_service``: the service that routes are moved to. ``max_body_bytes``: the limit that the configurations set
    for request bodies, None for that of the default configuration.
    """

    def __init__(
        self,
        random: Random,
        other_service: str = OTHER_MODEL,
        max_body_bytes: int | None = None,
    ) -> None:
        self._other_service = other_service
        self._max_body_bytes = max_body_bytes
        self.all: list[ChangingRoute] = []
        self._random = random
        self._present: list[ChangingRoute] = []

    def usable(self, now: float) -> list[ChangingRoute]:
        """The routes on which clients may send turns, the newest last."""
        return [route for route in self._present if route.usable(now)]

    def next_configuration(self, base: int, now: float) -> dict:
        """Draw one change of the routes; return the configuration after it, which is sent ``now``."""
        kinds = [self._add] if len(self._present) < MAX_ROUTES else [self._remove]
        kinds += [self._retain, self._move] + [self._remove] * (len(self._present) > 1)
        self._random.choice(kinds)(now)
        configuration = default_configuration(base + self._random.randint(MIN_VERSION_STEP, MAX_VERSION_STEP))
        configuration["routes"] += [route.fields() for route in self._present]
        configuration["routes"] += [resumable_route(), short_route()]
        if self._other_service == OTHER_MODEL:
            configuration["services"].append(configuration["services"][0] | {"name": OTHER_MODEL})
        if self._max_body_bytes is not None:
            configuration["limits"] = configuration["limits"] | {"max-body-bytes": self._max_body_bytes}
        return configuration

    def acknowledged(self, now: float) -> None:
        """The configuration drawn last is acknowledged."""
        for route in self._present:
            if route.retained:
                route.retained_at = min(route.retained_at, now)

    def _add(self, now: float) -> None:
        route = ChangingRoute(f"route-{len(self.all)}", self._random.random() < FIRST_RETAINED_SHARE)
        self.all.append(route)
        self._present.append(route)

    def _remove(self, now: float) -> None:
        route = self._random.choice(self._present)
        self._present.remove(route)
        route.removed_at = now

    def _retain(self, now: float) -> None:
        for route in self._present:
            route.retained = True

    def _move(self, now: float) -> None:
        for route in self._present:
            if self._random.random() < 0.5:
                route.backend = self._other_service if route.backend == MODEL else MODEL


def resumable_route() -> dict:
    """The route of turns that clients may resume; it never changes."""
    common = default_configuration()["routes"][0]
    named = {"name": RESUMABLE_ROUTE, "path-prefix": f"/{RESUMABLE_ROUTE}/", "resumable": True}
    return common | named | {"retention-s": RETENTION_S}


def short_route() -> dict:
    """The route of turns that are retained for a short time only; it never changes."""
    common = default_configuration()["routes"][0]
    named = {"name": SHORT_ROUTE, "path-prefix": f"/{SHORT_ROUTE}/"}
    return common | named | {"retention-s": SHORT_RETENTION_S}


def idle_routes(count: int) -> list[dict]:
    """Routes that no client uses, as a large configuration has them; their numbers are written like 2.0."""
    common = default_configuration()["routes"][-1]
    return [common | {"name": f"idle-{n}", "path-prefix": f"/idle-{n}/", "max-attempts": 1.0} for n in range(count)]


@dataclass(frozen=True)
class JudgedTurn:
    """A turn on a changing route: what its client sent and received. ``status`` 0: no complete response."""

    request_id: str
    route: ChangingRoute
    relay: str
    previous: str
    status: int
    sent_at: float
    ended_at: float


def lost_turns(turns: Iterable[JudgedTurn]) -> Iterator[str]:
    """Turns that broke LOST: 404 or 410 on a route that is there, though the turn in Previous was answered whole."""
    for turn in turns:
        if turn.previous and turn.status in (404, 410) and turn.ended_at < turn.route.removed_at:
            yield (
                f"LOST {turn.request_id} on {turn.route.name} at {turn.relay}: status {turn.status}, "
                f"its Previous {turn.previous} was answered whole"
            )
