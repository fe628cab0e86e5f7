"""What a relay tells of itself: ``GET /status`` at its readiness address."""

from __future__ import annotations

import math

import msgspec

from lynxscale.dataplane.endpoints import EndpointState

NEVER_S = 1e6  # stands for an age without end


class EndpointStatus(msgspec.Struct, frozen=True):
    """One endpoint, by this relay's own calls. ``restart_ms``: τ, None while too few tries have finished."""

    id: str
    service: str
    ready: bool
    in_flight: int
    window: int
    restart_ms: float | None


class RelayStatus(msgspec.Struct, frozen=True):
    """One relay. ``vouched_s``: how long ago the primary vouched for the versions held here."""

    address: str
    ready: bool
    stopping: bool
    configuration: int
    vouched_s: float
    place: str
    primary: str
    endpoints: list[EndpointStatus]


def tau(state: EndpointState) -> float | None:
    """An endpoint's restart time in ms, None for none."""
    return state.sample.tau if math.isfinite(state.sample.tau) else None


def render(status: RelayStatus) -> str:
    """The status as text, one fact a line."""
    condition = "stopping" if status.stopping else "ready" if status.ready else "not ready"
    lines = [
        f"relay          {status.address}, {condition}",
        f"configuration  {status.configuration}, vouched for {status.vouched_s:.1f} s ago",
        f"tree           {status.place}, primary {status.primary or 'unknown'}",
    ]
    for endpoint in status.endpoints:
        restart = "none" if endpoint.restart_ms is None else f"{endpoint.restart_ms:.0f} ms"
        state = "ready" if endpoint.ready else "leaving"
        lines.append(
            f"endpoint       {endpoint.id} of {endpoint.service} {state}, in flight {endpoint.in_flight},"
            f" window {endpoint.window}, restart time {restart}"
        )
    return "\n".join(lines)
