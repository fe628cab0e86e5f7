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


def load_settings() -> Settings:
    """Load the settings of this process. Raises SettingsError."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"the environment variable {SETTINGS_VARIABLE} is not set or empty")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return parse_settings(text, path)


def parse_settings(text: str, source: str) -> Settings:
    """Parse settings from TOML; ``source`` is the file's name in findings. Raises SettingsError with all findings."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: {error}") from error
    table = with_whole_numbers(table, Settings)
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
    if table.get("seeds") == []:
        found.append(f"{source}: seeds: want one address at least")
    return found
