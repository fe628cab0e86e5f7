"""What the command lines of both programs share. Exit codes: 0 good, 1 a finding or a refusal, 2 not usable."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import cappa
import msgspec

from lynxscale.runtime.ask import NoAnswer, ask
from lynxscale.runtime.http_types import Response
from lynxscale.runtime.settings import SettingsError, parse

T = TypeVar("T")

GOOD, FINDINGS, UNUSABLE = 0, 1, 2


def fail(text: str, code: int) -> cappa.Exit:
    """Tell on standard error, and the exit to raise."""
    print(text, file=sys.stderr)
    return cappa.Exit(code=code)


def read_file(path: str) -> bytes:
    """A file's bytes. Raises cappa.Exit."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise fail(f"{path}: {error.strerror}", UNUSABLE) from None


def call(address: str, method: str, target: str, body: bytes = b"", fields: tuple = ()) -> Response:
    """One call to a process. Raises cappa.Exit."""
    try:
        return ask(address, method, target, body, fields)
    except NoAnswer as error:
        raise fail(f"{address}: {error}", UNUSABLE) from None


def print_status(address: str, as_json: bool, kind: type[T], render: Callable[[T], str]) -> None:
    """Print what a process tells of itself, as it came or as text. Raises cappa.Exit."""
    response = call(address, "GET", "/status")
    print(response.body.decode() if as_json else render(msgspec.json.decode(response.body, type=kind)))


@cappa.command(name="check-settings", help="Check a settings file; all findings are told at once.")
@dataclass
class CheckSettings:
    """A command of both programs."""

    file: str

    def __call__(self) -> None:
        """Tell the findings of a settings file."""
        try:
            settings = parse(read_file(self.file).decode(errors="replace"), self.file)
        except SettingsError as error:
            raise fail(str(error), FINDINGS) from None
        print(f"{self.file}: good, node {settings.node_name}")
