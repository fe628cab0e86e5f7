"""What a member tells of itself: ``GET /status`` at its control address."""

from __future__ import annotations

import msgspec


class ReplicaStatus(msgspec.Struct, frozen=True):
    """One member, as the primary knows it."""

    member: str
    node: str
    witness: bool
    in_sync: bool
    heard_s: float


class ControlStatus(msgspec.Struct, frozen=True):
    """One control process. ``leads``: it holds the lease now. Ages are in seconds."""

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


def render(status: ControlStatus) -> str:
    """The status as text, one fact a line."""
    lines = [
        f"node           {status.node}",
        f"state          {status.state}{' (holds the lease)' if status.leads else ''}",
        f"epoch          {status.epoch}, primary {status.primary or 'unknown'}",
        f"position       {status.position}",
        f"configuration  {status.configuration}",
    ]
    if status.leads:
        lines.append(f"endpoints      {status.endpoints}")
        lines.append(f"relays         {len(status.relays)}: {' '.join(status.relays)}")
        lines.append(f"retiring       {' '.join(status.retiring) or 'none'}")
        lines += [_replica_line(replica) for replica in status.replicas]
    return "\n".join(lines)


def _replica_line(replica: ReplicaStatus) -> str:
    words = [word for word, holds in (("witness", replica.witness), ("in_sync", replica.in_sync)) if holds]
    role = " ".join(words) or "spare"
    return f"replica        {replica.node or replica.member} {role}, heard {replica.heard_s:.1f} s ago"
