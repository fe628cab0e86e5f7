"""Exports what a scheduler has learned about its destinations, for the process that replaces it.

Without this state a new process would have to learn each rate limit, wait and outage again, and would send to failing
destinations as if no call had failed yet. Endpoint numbers are internal to a scheduler; the caller that transfers the
state replaces them by names. Values are stored by position, so the order of the tuples below is a format. Times are
milliseconds on a clock that both processes share. No I/O.
"""

from __future__ import annotations

import math
from typing import Any

from lynxscale.scheduling.endpoint_health import Health, HealthState
from lynxscale.scheduling.model import Route
from lynxscale.scheduling.scheduler import Scheduler

ROUTE_FIELDS = (
    "window",
    "restarts",
    "lost_restarts",
    "restart_timeout_ms",
    "median",
    "recent_latency",
    "limit",
    "blocked_until",
)
HEALTH_FIELDS = (
    "state",
    "failures",
    "definite_failures",
    "last_failure_at",
    "last_success_at",
    "count",
    "count_at",
    "slow_start_from",
    "next_trial_at",
    "base_rate",
    "first_failure_at",
)
RATE_SHARE_FIELDS = (
    "rejection_factor",
    "level_factor",
    "boost_factor",
    "factor_recovered_at",
    "rejected_at",
    "answered_at",
)
ENDPOINT_FIELDS = ("cooldown_until", "failed_connects", "connect_failed_at", "answered_sent_at", "latency_ratio")
EXPORTED_SAMPLE_MAX = 40  # latest attempts exported per route: enough for a restart timeout


def export(scheduler: Scheduler) -> dict[str, Any]:
    """Return the learned state as a JSON object, with ``None`` for infinities."""
    routes, endpoints = [], []
    for destination in scheduler.table.destinations.values():
        for route in destination.routes:
            if not route.attempts and not route.blocked_until and not route.health.failures:
                continue  # never called
            routes.append(_export_route(route))
            for endpoint in route.endpoints:
                own = [
                    _attribute_values(health, HEALTH_FIELDS)
                    for health in endpoint.health_records
                    if health is not route.health
                ]
                endpoints.append([endpoint.number, _attribute_values(endpoint, ENDPOINT_FIELDS), own])
    return {
        "lanes": routes,
        "endpoints": endpoints,
        "classes": scheduler.latencies.class_means,
        "rest": scheduler.backoff.base_ms,
    }


def _export_route(route: Route) -> list:
    return [
        route.destination.number,
        [endpoint.number for endpoint in route.endpoints],
        _attribute_values(route, ROUTE_FIELDS),
        _attribute_values(route.health, HEALTH_FIELDS),
        _attribute_values(route.rate_share, RATE_SHARE_FIELDS),
        [[round(at), _finite(latency)] for at, latency in list(route.attempts)[-EXPORTED_SAMPLE_MAX:]],
    ]


def restore(scheduler: Scheduler, exported: dict[str, Any], now: float) -> int:
    """Load the state that ``export`` returned into a new scheduler.

    Returns
    -------
    int
        Number of routes whose state was restored.

    Raises
    ------
    ValueError
        The state was not returned by ``export``.
    """
    try:
        _restore_endpoints(scheduler, exported["endpoints"], now)
        routes = _restore_routes(scheduler, exported["lanes"], now)
        if len(exported["classes"]) == len(scheduler.latencies.class_means):
            scheduler.latencies.class_means = [[float(mean), int(count)] for mean, count in exported["classes"]]
        scheduler.backoff.base_ms = float(exported["rest"])
    except (KeyError, TypeError, IndexError, AttributeError) as error:
        raise ValueError(f"invalid learned state: {error!r}") from error
    return routes


def _restore_endpoints(scheduler: Scheduler, rows: list, now: float) -> None:
    for number, values, own in rows:
        endpoint = scheduler.table.endpoints.get(number)
        if endpoint is None:
            continue
        _set_attributes(endpoint, ENDPOINT_FIELDS, values)
        health_records = (health for health in endpoint.health_records if health is not endpoint.route.health)
        for health, health_values in zip(health_records, own, strict=False):
            _restore_health(health, health_values, now)


def _restore_routes(scheduler: Scheduler, rows: list, now: float) -> int:
    endpoints = scheduler.table.endpoints
    restored = 0
    for destination, numbers, values, health, rate_share, sample in rows:
        route = next((endpoints[number].route for number in numbers if number in endpoints), None)
        if route is None or route.destination.number != destination:
            continue
        restored += 1
        _restore_route(route, values, sample)
        _restore_health(route.health, health, now)
        _set_attributes(route.rate_share, RATE_SHARE_FIELDS, rate_share)
        route.rate_share.set_limit(route.limit or route.weight())
        route.rate_share.tokens, route.rate_share.tokens_at = 0.0, now  # the previous process may have used the burst
    return restored


def _restore_route(route: Route, values: list, sample: list) -> None:
    _set_attributes(route, ROUTE_FIELDS, values)
    route.window = max(1, int(route.window))
    route.attempts.extend((float(at), math.inf if latency is None else float(latency)) for at, latency in sample)
    route.added = len(route.attempts)


def _restore_health(health: Health, values: list, now: float) -> None:
    if values[0] not in set(HealthState):
        raise ValueError(f"unknown health state: {values[0]!r}")
    health.state = HealthState(values[0])
    _set_attributes(health, HEALTH_FIELDS[1:], values[1:])
    health.tokens, health.tokens_at = 0.0, now


def _attribute_values(source: object, names: tuple[str, ...]) -> list:
    values = [getattr(source, name) for name in names]
    return [value.value if isinstance(value, HealthState) else _finite(value) for value in values]


def _finite(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None


def _set_attributes(target: object, names: tuple[str, ...], values: list) -> None:
    for name, value in zip(names, values, strict=True):
        if value is not None:  # ``None`` is an infinity, which is the initial value
            setattr(target, name, value + 0)


__all__ = ["export", "restore"]
