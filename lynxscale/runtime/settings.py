"""The settings of one process, as read from its settings file.

A field's key in the file is its name with hyphens: ``heartbeat_ms`` is ``heartbeat-ms``. The suffix of the name gives
the unit: ``_ms`` milliseconds, ``_s`` seconds, ``_mb`` megabytes.
"""

from __future__ import annotations

import msgspec


def internal_address(control_address: str, port: int) -> str:
    """Return the internal address of the machine with a given control address."""
    return f"{control_address.rpartition(':')[0]}:{port}"


class Listen(msgspec.Struct, frozen=True):
    """Addresses (``host:port``) on which the process listens; empty if it does not offer that interface."""

    frontend: str = ""
    readiness: str = ""
    control: str = ""


class Limits(msgspec.Struct, frozen=True, rename="kebab"):
    """Resources of the machine that the process may use. ``cpu_share`` is in cores."""

    cpu_share: float = 1.0
    memory_mb: int = 256
    max_fds: int = 1024
    disk_mb: int = 0


class FaultTolerance(msgspec.Struct, frozen=True):
    """The number of failure domains of each kind that may fail simultaneously while all guarantees hold."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    """Time bounds of the guarantees."""

    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    drain_ms: float = 3000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    skew_max_ms: float = 5000.0
    recovery_s: float = 12.0


class Cloud(msgspec.Struct, frozen=True, rename="kebab"):
    """The platform's API. ``rate_per_s``: its rate limit; ``lag_ms``: how far its endpoint list may lag behind."""

    address: str = ""
    rate_per_s: float = 10.0
    lag_ms: float = 800.0


class Settings(msgspec.Struct, frozen=True, rename="kebab"):
    """The settings of one process. ``seeds``: control addresses of the machines that it contacts at the start."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1200.0
    listen: Listen = Listen()
    limits: Limits = Limits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud: Cloud = Cloud()

    @property
    def internal_address(self) -> str:
        """The address on which this node listens for its peers."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def contacts(self) -> tuple[str, ...]:
        """The internal addresses of the seeds; all machines use the same internal ports."""
        return tuple(internal_address(seed, self.internal_ports[0]) for seed in self.seeds)
