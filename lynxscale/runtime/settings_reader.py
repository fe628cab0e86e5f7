"""Reads the settings file of a process: a TOML file that the environment variable ``LYNXSCALE_SETTINGS`` names.

Unknown keys are ignored. All invalid fields are reported together, each with the file and the field.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from lynxscale.configuration.whole_numbers import with_whole_numbers
from lynxscale.runtime.exceptions import SettingsError
from lynxscale.runtime.settings import Settings

SETTINGS_VARIABLE = "LYNXSCALE_SETTINGS"
MAX_PORT = 65535


def load_settings() -> Settings:
    """Load the settings of this process. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"the environment variable {SETTINGS_VARIABLE} is not set or empty")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # not UTF-8, as TOML requires, or a path with a null byte
        raise SettingsError(f"{path}: {error}") from error
    return parse_settings(text, path)


def parse_settings(text: str, source: str) -> Settings:
    """Parse settings from TOML; ``source`` is the file's name in findings. Raises SettingsError with all findings."""
    try:
        table = tomllib.loads(text)
        table = with_whole_numbers(table, Settings)
    except ValueError as error:  # includes TOMLDecodeError, and numbers with too many digits
        raise SettingsError(f"{source}: {error}") from error
    except RecursionError as error:
        raise SettingsError(f"{source}: nested too deeply") from error
    findings = _findings(table, source)
    if findings:
        raise SettingsError("\n".join(findings))
    return msgspec.convert(table, Settings)


def _findings(table: dict[str, Any], source: str) -> list[str]:
    """Return a finding for each missing or invalid field; checked one by one, as msgspec stops at the first error."""
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
    found += [f"{source}: {finding}" for finding in _listener_findings(table)]
    if table.get("seeds") == []:
        found.append(f"{source}: seeds: want one address at least")
    return found


def _listener_findings(table: dict[str, Any]) -> list[str]:
    """Return a finding for each address to listen on whose port is none, as the process could not start with it."""
    listen = table.get("listen", {})
    addresses = {f"listen.{name}": value for name, value in listen.items()} if isinstance(listen, dict) else {}
    found = [
        f"{name}: want HOST:PORT, got {address!r}"
        for name, address in addresses.items()
        if isinstance(address, str) and address and not _is_port(address.rpartition(":")[2])
    ]
    ports = table.get("internal-ports")
    if isinstance(ports, list) and any(isinstance(port, int) and not _is_port(str(port)) for port in ports):
        found.append(f"internal-ports: want ports up to {MAX_PORT}, got {ports!r}")
    return found


def _is_port(text: str) -> bool:
    return text.isdecimal() and int(text) <= MAX_PORT
