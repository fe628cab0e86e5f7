"""Code that the command lines of both programs share: error exits, requests to a process, ``check-settings``."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import cappa
import msgspec

from lynxscale.runtime.exceptions import NoResponseError, SettingsError
from lynxscale.runtime.exit_codes import ExitCode
from lynxscale.runtime.http_types import Headers, Response
from lynxscale.runtime.operator_client import send_request_blocking
from lynxscale.runtime.settings_reader import parse_settings

T = TypeVar("T")


def fail(text: str, code: ExitCode) -> cappa.Exit:
    """Print ``text`` on standard error and return the exit, for the caller to raise."""
    print(text, file=sys.stderr)
    return cappa.Exit(code=code)


def read_file(path: str) -> bytes:
    """Return the content of a file. Raises cappa.Exit with ``UNUSABLE`` if it cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise fail(f"{path}: {error.strerror}", ExitCode.UNUSABLE) from None


def send_request_or_exit(address: str, method: str, target: str, body: bytes = b"", fields: Headers = ()) -> Response:
    """Return the response of the process at ``address``. Raises cappa.Exit with ``UNUSABLE`` if there is none."""
    try:
        return send_request_blocking(address, method, target, body, fields)
    except NoResponseError as error:
        raise fail(f"{address}: {error}", ExitCode.UNUSABLE) from None


def print_status(address: str, as_json: bool, kind: type[T], render: Callable[[T], str]) -> None:
    """Print the status of a process: the JSON as received, or the text that ``render`` returns. Raises cappa.Exit."""
    response = send_request_or_exit(address, "GET", "/status")
    print(response.body.decode() if as_json else render(msgspec.json.decode(response.body, type=kind)))


@cappa.command(name="check-settings", help="Check a settings file; all findings are printed at once.")
@dataclass
class CheckSettings:
    """The command ``check-settings`` of both programs. ``file``: path of the settings file."""

    file: str

    def __call__(self) -> None:
        """Print the node's name, or all findings. Raises cappa.Exit with ``FINDINGS`` if there are any."""
        try:
            settings = parse_settings(read_file(self.file).decode(errors="replace"), self.file)
        except SettingsError as error:
            raise fail(str(error), ExitCode.FINDINGS) from None
        print(f"{self.file}: good, node {settings.node_name}")
