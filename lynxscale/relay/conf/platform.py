"""Reads and checks the platform's configuration: the file NODE_CONFIG and environment variables, with defaults."""

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

from lynxscale.relay.exceptions import RelayError
from lynxscale.scheduling.exceptions import SettingsError
from lynxscale.scheduling.settings import Settings
from lynxscale.scheduling.settings_reader import settings_from

DEFAULT_SOCKETS, DEFAULT_DISK_MB, DEFAULT_MEMORY_MB = 1024, 3.0, 64.0
MIN_SOCKETS = 64


class PlatformError(RelayError):
    """A key is missing or invalid; the message names the key."""


Address = tuple[str, int]


@dataclass(slots=True)
class Config:
    """The configuration of a relay, from the platform or from the settings file.

    ``known``: the endpoint list of the last run, in the form of a discovery response.
    """

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
    admin: Address | None = None  # the admin server's address
    memory_bytes: int = 64_000_000
    accept_fd: int | None = None  # a listening socket for clients that the platform has opened


def address(text: Any, key: str) -> Address:
    """Parse ``host:port``. Raises PlatformError, which names ``key``."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise PlatformError(f"{key}: want host:port, not {text!r}")
    return host, int(port)


def _object(table: dict, key: str) -> dict:
    value = table.get(key, {})
    if not isinstance(value, dict):
        raise PlatformError(f"{key}: want an object, not {value!r}")
    return value


def _limit(limits: dict, key: str, default: float, minimum: float) -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < float("inf"):
        raise PlatformError(f"limits.{key}: want a number of at least {minimum:g}, not {value!r}")
    return value


def seed(value: Any) -> int:
    """The random seed: a number, a hexadecimal text, or the checksum of another text."""
    if isinstance(value, str):
        try:
            return int(value, 16)
        except ValueError:
            return zlib.crc32(value.encode())
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise PlatformError(f"seed: want a text or a whole number, not {value!r}")


def _inherited_listener(text: str, listen: Address) -> int:
    """The descriptor of a TCP socket that listens on ``listen``. Raises PlatformError."""
    key = "NODE_ACCEPT_FD"
    if not (text.isascii() and text.isdigit() and 2 < int(text) < 1 << 20):
        raise PlatformError(f"{key}: want the number of a descriptor, 3 or above, not {text!r}")
    descriptor = int(text)
    try:
        with socket.socket(fileno=os.dup(descriptor)) as inherited:
            listens = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            socket_kind, bound_to = (inherited.family, inherited.type & socket.SOCK_STREAM), inherited.getsockname()
    except OSError as error:
        raise PlatformError(f"{key}: descriptor {descriptor} is not a socket: {error.strerror}") from error
    if socket_kind != (socket.AF_INET, socket.SOCK_STREAM) or not listens:
        raise PlatformError(f"{key}: descriptor {descriptor} is not a listening TCP socket")
    if bound_to != listen and (bound_to[0] != "0.0.0.0" or bound_to[1] != listen[1]):
        raise PlatformError(
            f"{key}: descriptor {descriptor} listens on {bound_to[0]}:{bound_to[1]}, "
            f"NODE_LISTEN says {listen[0]}:{listen[1]}"
        )
    return descriptor


def load(env: Mapping[str, str] = os.environ, *, reloading: bool = False) -> Config:
    """The relay's configuration. An environment variable takes precedence over the same key in the file.

    With ``reloading`` the file's discovery address takes precedence, as it may have changed since the start. Raises
    PlatformError.
    """
    table = _read_table(env)
    limits = _object(table, "limits")
    state = _state(env, table)
    settings = _settings(table)
    discovery = env.get("NODE_DISCOVERY")
    if not discovery or (reloading and "discovery" in table):
        discovery = table.get("discovery")
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = int(_limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS))
    listen = address(env.get("NODE_LISTEN") or table.get("listen"), "NODE_LISTEN")
    admin = _admin(env, table, listen)
    return Config(
        name=str(env.get("NODE_NAME") or table.get("name") or "relay"),
        listen=listen,
        discovery=address(discovery, "discovery" if reloading else "NODE_DISCOVERY"),
        state=state,
        seed=seed(table.get("seed", 0)),
        sockets=sockets if descriptors == resource.RLIM_INFINITY else min(sockets, descriptors),
        disk_bytes=int(_limit(limits, "disk_mb", DEFAULT_DISK_MB, 0.01) * 1_000_000),
        known=_object(table, "known"),
        settings=settings,
        admin=admin,
        memory_bytes=int(_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, 1) * 1_000_000),
        accept_fd=_inherited_listener(env["NODE_ACCEPT_FD"], listen) if env.get("NODE_ACCEPT_FD") else None,
    )


def _read_table(env: Mapping[str, str]) -> dict:
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
    return table


def _state(env: Mapping[str, str], table: dict) -> Path:
    state = env.get("NODE_STATE") or table.get("state")
    if not isinstance(state, str) or not Path(state).is_dir():
        raise PlatformError(f"NODE_STATE: want an existing folder, not {state!r}")
    if not os.access(state, os.W_OK | os.X_OK):
        raise PlatformError(f"NODE_STATE: {state} is not writable")
    return Path(state)


def _settings(table: dict) -> Settings:
    if "settings" not in table:
        raise PlatformError("settings: missing")
    try:
        return settings_from(table["settings"])
    except SettingsError as error:
        raise PlatformError(f"settings: {error}") from error


def _admin(env: Mapping[str, str], table: dict, listen: Address) -> Address | None:
    text = env.get("NODE_ADMIN_ADDR") or table.get("admin_addr")
    if text is None:
        return None
    admin = address(text, "admin_addr (NODE_ADMIN_ADDR)")
    if admin == listen:
        raise PlatformError(f"admin_addr (NODE_ADMIN_ADDR): {admin[0]}:{admin[1]} is the clients' address")
    return admin
