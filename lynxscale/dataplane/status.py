"""The status of a relay: ``GET /status`` at its readiness address, and its rendering as text.

Operators read the JSON names; ``msgspec.field`` gives the JSON name of a field that is named differently here.
"""

from __future__ import annotations

import math

import msgspec

from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.runtime.resource_limits import ResourceStatus

UNKNOWN_AGE_S = 1e6  # JSON has no infinity


class EndpointStatus(msgspec.Struct, frozen=True):
    """The state of one endpoint, derived from this relay's own attempts.

    ``restart_timeout_ms`` is None while too few attempts have completed.
    """

    id: str
    service: str
    ready: bool
    in_flight: int
    window: int
    restart_timeout_ms: float | None = msgspec.field(name="restart_ms")


class RelayStatus(msgspec.Struct, frozen=True):
    """The status of one relay. ``confirmed_age_s``: seconds since the primary confirmed the versions of its topics.

    ``configuration_error``: why the newest version received cannot be used; unset if it can, and in the status of
    programs that do not report it. ``resources``: unset in the status of programs that do not report them.
    """

    address: str
    ready: bool
    stopping: bool
    generation: int = msgspec.field(name="configuration")
    confirmed_age_s: float = msgspec.field(name="vouched_s")
    tree_position: str = msgspec.field(name="place")
    primary: str
    endpoints: list[EndpointStatus]
    configuration_error: str | msgspec.UnsetType = msgspec.UNSET
    resources: ResourceStatus | msgspec.UnsetType = msgspec.UNSET


def endpoint_status(endpoint_id: str, state: EndpointState) -> EndpointStatus:
    """Return the status of one endpoint."""
    restart_timeout_ms = state.sample.restart_timeout_ms if math.isfinite(state.sample.restart_timeout_ms) else None
    service = state.endpoint.backend
    return EndpointStatus(endpoint_id, service, state.ready, state.in_flight, state.window, restart_timeout_ms)


def render(status: RelayStatus) -> str:
    """Return the status as text, one line per item."""
    condition = "stopping" if status.stopping else "ready" if status.ready else "not ready"
    lines = [
        f"relay          {status.address}, {condition}",
        f"configuration  {status.generation}, confirmed {status.confirmed_age_s:.1f} s ago",
        f"tree           {status.tree_position}, primary {status.primary or 'unknown'}",
    ]
    if isinstance(status.configuration_error, str):
        lines.append(f"unusable       the newest configuration: {status.configuration_error}")
    if isinstance(status.resources, ResourceStatus):
        lines += status.resources.render()
    return "\n".join((*lines, *(_endpoint_line(endpoint) for endpoint in status.endpoints)))


def _endpoint_line(endpoint: EndpointStatus) -> str:
    timeout_ms = endpoint.restart_timeout_ms
    restart = "none" if timeout_ms is None else f"{timeout_ms:.0f} ms"
    state = "ready" if endpoint.ready else "leaving"
    return (
        f"endpoint       {endpoint.id} of {endpoint.service} {state}, in flight {endpoint.in_flight},"
        f" window {endpoint.window}, restart time {restart}"
    )
