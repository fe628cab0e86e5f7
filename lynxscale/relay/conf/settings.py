"""The settings of the lynxscale configuration file, one class for each section. Times are whole µs, sizes bytes.

Fields are named like the directives that set them, and their defaults are those of the directives.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogConf:
    """Section log: the format of the daemon's log."""

    format: str = "logfmt"
    level: str = "info"
    traffic: int = 5_000_000  # µs


@dataclass(frozen=True, slots=True)
class TraceConf:
    """Section trace: the recorder's settings. Without ``folder`` nothing is recorded."""

    folder: str | None = None
    level: str = "tries"
    block: int = 64 << 10  # bytes before compression
    file_size: int = 16 << 20
    file_age: int = 3_600_000_000  # µs
    total: int = 256 << 20
    memory: int = 1 << 20
    flush: int = 50_000  # µs
    classes: tuple[str, ...] = ()
    sample: float = 1.0


@dataclass(frozen=True, slots=True)
class MembersConf:
    """Section members: watched files with endpoint lists. Without ``files`` nothing is watched."""

    files: tuple[str, ...] = ()
    precedence: str = "files"
    allow: tuple[str, ...] = ("127.0.0.0/8",)
    deny: tuple[str, ...] = ()
    checksum: bool = False
    entries: int = 65_536
    most_removed: float = 1.0
    last_endpoint: str = "allow"
    most_moved: float = 1.0
    on_guard: str = "hold"
    ramp: int = 0  # µs
    poll: int = 500_000  # µs


@dataclass(frozen=True, slots=True)
class ClusterConf:
    """Section cluster: the relays of a cluster. Without ``name`` there is no cluster.

    Rows of ``member`` have the keys name, at and zone.
    """

    name: str | None = None
    listen: str | None = None
    member: tuple[dict, ...] = ()
    probe: int = 500_000  # µs


@dataclass(frozen=True, slots=True)
class RelayConf:
    """Section relay: a relay without the platform. Without ``listen`` the platform's configuration is used."""

    listen: str | None = None
    admin_addr: str | None = None
    name: str = "relay"
    state: str = "state"
    seed: str = "0"
    discovery: str | None = None
    sockets: int = 1024
    disk: int = 64 << 20
    relays: int = 1
    place: int = 0


@dataclass(frozen=True, slots=True)
class FinalsConf:
    """Section finals: the destination of final outcomes of undelivered messages."""

    file: str | None = None
    size: int = 16 << 20
    files: int = 4
    http: str | None = None
    path: str = "/v2/finals"


@dataclass(frozen=True, slots=True)
class LimitsConf:
    """Section limits: limits of pending messages and attempts, and what peers permit."""

    slots: int = 64
    held: int = 400
    tries: int = 12
    cancel: bool = True
    probes: bool = False
    idle_close: int = 15_000_000  # µs
    dial: int = 1_500_000
    retry_after_most: int = 3_000_000
    drain_grace: int = 2_000_000
    cold_share: float = 0.2
    warm_up: int = 10_000_000
    tip_multiple: float = 2.0
    tip_after: int = 3_000_000
    late: str = "lost"


@dataclass(frozen=True, slots=True)
class NamesConf:
    """Section names: classes, tenants, kinds of endpoints and zones. Their order is significant."""

    cls: tuple[dict, ...] = ()
    tenant: tuple[dict, ...] = ()
    kind: tuple[dict, ...] = ()
    zone: tuple[dict, ...] = ()
    report: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Conf:
    """All sections of the configuration file."""

    log: LogConf = LogConf()
    trace: TraceConf = TraceConf()
    relay: RelayConf = RelayConf()
    names: NamesConf = NamesConf()
    limits: LimitsConf = LimitsConf()
    finals: FinalsConf = FinalsConf()
    members: MembersConf = MembersConf()
    cluster: ClusterConf = ClusterConf()
