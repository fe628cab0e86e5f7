"""The settings of one process, as its settings file states them.

A field's key in the file is its name here with hyphens (``heartbeat_ms`` is ``heartbeat-ms``). The unit stands in the
name: ``_ms`` milliseconds, ``_s`` seconds, ``_mb`` megabytes.
"""

from __future__ import annotations

import msgspec


def internal_address(control_address: str, port: int) -> str:
    """The internal address of the machine behind a control address."""
    return f"{control_address.rpartition(':')[0]}:{port}"


class Listen(msgspec.Struct, frozen=True):
    """Addresses (``host:port``) on which the role listens; empty where it does not serve that."""

    frontend: str = ""
    readiness: str = ""
    control: str = ""


class Limits(msgspec.Struct, frozen=True, rename="kebab"):
    """Resources of the machine that the process may use. ``cpu_share``: cores."""

    cpu_share: float = 1.0
    memory_mb: int = 256
    max_fds: int = 1024
    disk_mb: int = 0


class FaultTolerance(msgspec.Struct, frozen=True):
    """How many failure domains of each kind may be lost at once while all guarantees hold."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    """Time bounds of the guarantees."""

    contact_ms: int = 3000
    ack_ms: int = 4000
    drain_ms: int = 3000
    grace_s: float = 8.0
    loss_slack_ms: int = 200
    config_apply_ms: int = 2000
    skew_max_ms: int = 5000
    recovery_s: float = 12.0


class Cloud(msgspec.Struct, frozen=True, rename="kebab"):
    """The platform's API with the endpoint list. ``rate_per_s``: rate limit of calls; ``lag_ms``: the list's age."""

    address: str = ""
    rate_per_s: float = 10.0
    lag_ms: int = 800


class Settings(msgspec.Struct, frozen=True, rename="kebab"):
    """One process of the serving tier. ``seeds``: control addresses of the machines to contact at the start."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool = False
    data_dir: str = ""
    heartbeat_ms: int = 1200
    listen: Listen = Listen()
    limits: Limits = Limits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud: Cloud = Cloud()

    @property
    def internal_address(self) -> str:
        """Address on which this node listens for its peers."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def contacts(self) -> tuple[str, ...]:
        """Internal addresses of the seeds; all machines use the same internal ports."""
        return tuple(internal_address(seed, self.internal_ports[0]) for seed in self.seeds)
