"""The platform's side of the settings: NODE_CONFIG and the environment, read, checked and given defaults."""

from __future__ import annotations

import os
import resource
import socket
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from lynxscale.scheduling.exceptions import SettingsError
from lynxscale.scheduling.settings import Settings
from lynxscale.scheduling.settings_reader import settings_from

SOCKETS, DISK_MB, MEMORY_MB = 1024, 3.0, 64.0
LEAST_SOCKETS = 64


class PlatformError(Exception):
    """A key is missing or not of use; the text names it."""


Address = tuple[str, int]


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address | None
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    known: dict
    settings: Settings
    by_platform: bool = True
    admin: Address | None = None  # for operators alone
    memory_bytes: int = 64_000_000
    accept_fd: int | None = None  # the clients' listening socket, where the platform holds it


def address(text: Any, key: str) -> Address:
    """A host and a port from ``host:port``."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise PlatformError(f"{key}: want host:port, not {text!r}")
    return host, int(port)


def _object(table: dict, key: str) -> dict:
    value = table.get(key, {})
    if not isinstance(value, dict):
        raise PlatformError(f"{key}: want an object, not {value!r}")
    return value


def _limit(limits: dict, key: str, default: float, least: float) -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < float("inf"):
        raise PlatformError(f"limits.{key}: want a number of at least {least:g}, not {value!r}")
    return value


def seed(value: Any) -> int:
    """A number from a text or a number."""
    if isinstance(value, str):
        try:
            return int(value, 16)
        except ValueError:
            return zlib.crc32(value.encode())
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise PlatformError(f"seed: want a text or a whole number, not {value!r}")


def _inherited(text: str, listen: Address) -> int:
    """The descriptor of a listening TCP socket at the address that is told."""
    key = "NODE_ACCEPT_FD"
    if not (text.isascii() and text.isdigit() and 2 < int(text) < 1 << 20):
        raise PlatformError(f"{key}: want the number of a descriptor, 3 or above, not {text!r}")
    handle = int(text)
    try:
        with socket.socket(fileno=os.dup(handle)) as told:
            listens = told.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            form, at = (told.family, told.type & socket.SOCK_STREAM), told.getsockname()
    except OSError as error:
        raise PlatformError(f"{key}: descriptor {handle} is no socket: {error.strerror}") from error
    if form != (socket.AF_INET, socket.SOCK_STREAM) or not listens:
        raise PlatformError(f"{key}: descriptor {handle} is no listening TCP socket")
    if at != listen and (at[0] != "0.0.0.0" or at[1] != listen[1]):
        raise PlatformError(
            f"{key}: descriptor {handle} listens on {at[0]}:{at[1]}, NODE_LISTEN says {listen[0]}:{listen[1]}"
        )
    return handle


def load(env: Mapping[str, str] = os.environ, *, again: bool = False) -> Config:
    """What this relay is told; a variable of its own goes before the same key in the file.

    Read ``again`` the file may name another discovery than at the start, and it is the newer word then.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise PlatformError("NODE_CONFIG: not set")
    try:
        table = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise PlatformError(f"NODE_CONFIG: {error}") from error
    except ValueError as error:
        raise PlatformError(f"NODE_CONFIG: {path} is not JSON: {error}") from error
    if not isinstance(table, dict):
        raise PlatformError(f"NODE_CONFIG: {path} does not hold an object")
    limits = _object(table, "limits")
    state = env.get("NODE_STATE") or table.get("state")
    if not isinstance(state, str) or not Path(state).is_dir():
        raise PlatformError(f"NODE_STATE: want a folder that is there, not {state!r}")
    if not os.access(state, os.W_OK | os.X_OK):
        raise PlatformError(f"NODE_STATE: {state} is not writable")
    if "settings" not in table:
        raise PlatformError("settings: missing")
    try:
        settings = settings_from(table["settings"])
    except SettingsError as error:
        raise PlatformError(f"settings: {error}") from error
    discovery = env.get("NODE_DISCOVERY")
    if not discovery or (again and "discovery" in table):
        discovery = table.get("discovery")
    told = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = int(_limit(limits, "sockets", SOCKETS, LEAST_SOCKETS))
    listen = address(env.get("NODE_LISTEN") or table.get("listen"), "NODE_LISTEN")
    admin = env.get("NODE_ADMIN_ADDR") or table.get("admin_addr")
    if admin is not None:
        admin = address(admin, "admin_addr (NODE_ADMIN_ADDR)")
        if admin == listen:
            raise PlatformError(f"admin_addr (NODE_ADMIN_ADDR): {admin[0]}:{admin[1]} is the clients' address")
    return Config(
        name=str(env.get("NODE_NAME") or table.get("name") or "relay"),
        listen=listen,
        discovery=address(discovery, "discovery" if again else "NODE_DISCOVERY"),
        state=Path(state),
        seed=seed(table.get("seed", 0)),
        sockets=sockets if told == resource.RLIM_INFINITY else min(sockets, told),
        disk_bytes=int(_limit(limits, "disk_mb", DISK_MB, 0.01) * 1_000_000),
        known=_object(table, "known"),
        settings=settings,
        admin=admin,
        memory_bytes=int(_limit(limits, "memory_mb", MEMORY_MB, 1) * 1_000_000),
        accept_fd=_inherited(env["NODE_ACCEPT_FD"], listen) if env.get("NODE_ACCEPT_FD") else None,
    )
