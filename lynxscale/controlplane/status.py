"""The status of a control process: ``GET /status`` at its control address, and its rendering as text.

Operators read the JSON names; ``msgspec.field`` gives the JSON name of a field that is named differently here.
"""

from __future__ import annotations

import msgspec

from lynxscale.runtime.resource_limits import ResourceStatus


class ReplicaStatus(msgspec.Struct, frozen=True):
    """The status of one member of the group, as the primary knows it from the member's messages."""

    member: str
    node: str
    witness: bool
    in_sync: bool
    last_heard_s: float = msgspec.field(name="heard_s")  # seconds ago


class ControlStatus(msgspec.Struct, frozen=True):
    """The status of one control process.

    ``leads``: whether it holds the lease. ``position``: epoch and index of the last stored batch. ``configuration``:
    the version in force. ``endpoints``, ``relays`` and ``replicas`` are reported by the primary only.
    ``configuration_error``: why relays cannot use that version; unset if they can, and in the status of programs that
    do not report it. ``resources``: unset in the status of programs that do not report them.
    """

    node: str
    member: str
    state: str
    leads: bool
    epoch: int
    primary: str
    position: str
    configuration: int
    endpoints: int
    relays: list[str]
    retiring: list[str]
    replicas: list[ReplicaStatus]
    configuration_error: str | msgspec.UnsetType = msgspec.UNSET
    resources: ResourceStatus | msgspec.UnsetType = msgspec.UNSET


def render(status: ControlStatus) -> str:
    """Return the status as text, one line per item."""
    lines = [
        f"node           {status.node}",
        f"state          {status.state}{' (holds the lease)' if status.leads else ''}",
        f"epoch          {status.epoch}, primary {status.primary or 'unknown'}",
        f"position       {status.position}",
        f"configuration  {status.configuration}",
    ]
    if isinstance(status.configuration_error, str):
        lines.append(f"unusable       relays cannot use this configuration: {status.configuration_error}")
    if isinstance(status.resources, ResourceStatus):
        lines += status.resources.render()
    if status.leads:
        lines.append(f"endpoints      {status.endpoints}")
        lines.append(f"relays         {len(status.relays)}: {' '.join(status.relays)}")
        lines.append(f"retiring       {' '.join(status.retiring) or 'none'}")
        lines += [_render_replica(replica) for replica in status.replicas]
    return "\n".join(lines)


def _render_replica(replica: ReplicaStatus) -> str:
    roles = [role for role, holds in (("witness", replica.witness), ("in_sync", replica.in_sync)) if holds]
    description = " ".join(roles) or "spare"
    return f"replica        {replica.node or replica.member} {description}, heard {replica.last_heard_s:.1f} s ago"
