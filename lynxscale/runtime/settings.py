"""The settings file of a process: TOML, named by ``LYNXSCALE_SETTINGS``. Unknown fields are ignored.

All wrong fields are reported together, each by its place in the file.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import tomllib
from collections.abc import Callable
from pathlib import Path

import msgspec

log = logging.getLogger(__name__)

LOOK_EVERY_S = 2.0
SETTINGS_VARIABLE = "LYNXSCALE_SETTINGS"


class Listen(msgspec.Struct, frozen=True):
    """Addresses of what the role serves; empty where it does not serve that."""

    frontend: str = ""
    readiness: str = ""
    control: str = ""


class Limits(msgspec.Struct, frozen=True, rename="kebab"):
    """What the machine allows."""

    cpu_share: float = 1.0
    memory_mb: int = 256
    max_fds: int = 1024
    disk_mb: int = 0


class FaultTolerance(msgspec.Struct, frozen=True):
    """What may be lost at once while all rules hold."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    """Times that the rules name, in the unit of each name."""

    contact_ms: int = 3000
    ack_ms: int = 4000
    drain_ms: int = 3000
    grace_s: float = 8.0
    loss_slack_ms: int = 200
    config_apply_ms: int = 2000
    skew_max_ms: int = 5000
    recovery_s: float = 12.0


class Cloud(msgspec.Struct, frozen=True, rename="kebab"):
    """The platform's list of endpoints. ``lag_ms``: how far it trails."""

    address: str = ""
    rate_per_s: float = 10.0
    lag_ms: int = 800


class Settings(msgspec.Struct, frozen=True, rename="kebab"):
    """One process of the serving tier."""

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
        """Where this node listens for others."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def contacts(self) -> tuple[str, ...]:
        """Internal addresses of the seeds: all machines use the same ports."""
        return tuple(internal_address(seed, self.internal_ports[0]) for seed in self.seeds)


class SettingsError(Exception):
    """The file cannot be used; the text holds one finding a line."""


def internal_address(control_address: str, port: int) -> str:
    """The internal address of the machine behind a control address."""
    return f"{control_address.rpartition(':')[0]}:{port}"


def parse(text: str, source: str) -> Settings:
    """Settings from TOML text. Raises SettingsError with all findings."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: {error}") from error
    findings = list(_findings(table, source))
    if findings:
        raise SettingsError("\n".join(findings))
    return msgspec.convert(table, Settings)


def _findings(table: dict, source: str) -> list[str]:
    """Every field that is missing or of a wrong type; fields are checked one by one, so all are told."""
    found = []
    for field in msgspec.structs.fields(Settings):
        if field.encode_name not in table:
            if field.required:
                found.append(f"{source}: {field.encode_name}: missing")
            continue
        try:
            msgspec.convert(table[field.encode_name], field.type)
        except msgspec.ValidationError as error:
            found.append(f"{source}: {field.encode_name}: {error}")
    return found


class SettingsWatch:
    """Reads the settings file again once it has changed, with or without a signal."""

    def __init__(self, settings: Settings, on_change: Callable[[Settings], None]) -> None:
        self._settings = settings
        self._on_change = on_change

    def look(self) -> None:
        """Read the file; a faulty one is logged, and what was in force stays."""
        try:
            settings = load()
        except SettingsError as error:
            log.error("event=settings_unusable error=%s", str(error).replace("\n", "; "))
            return
        if settings != self._settings:
            log.info("event=settings_changed")
            self._settings = settings
            self._on_change(settings)


async def watch_until(stopped: asyncio.Event, watch: SettingsWatch) -> None:
    """Look at the file every few seconds, as it may change without a signal, until ``stopped`` is set."""
    while not stopped.is_set():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), LOOK_EVERY_S)
        watch.look()


def load() -> Settings:
    """The settings of this process. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} names no file")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse(text, path)
