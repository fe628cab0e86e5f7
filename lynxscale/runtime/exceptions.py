"""Errors of the I/O layer, named after the side at fault, as h11 names its protocol errors.

``LocalError``: this process, or what it was given, is at fault; a retry fails alike. ``RemoteError``: the other side
or the network between is at fault; a retry may succeed. Faults of a disk stay the ``OSError`` of the system call.
"""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class LocalError(LynxscaleError):
    """This process, or what it was given, is at fault."""


class SettingsError(LocalError):
    """The settings cannot be used; the text holds one finding a line, each with its place in the file."""


class ReadOnlyFolderError(LocalError, OSError):
    """A write to a folder that was opened for reading only."""


class RemoteError(LynxscaleError):
    """The other side, or the network between, is at fault."""


class NoResponseError(RemoteError):
    """The server at ``address`` gave no complete response; the text is ``reason``."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(reason)
        self.address = address
        self.reason = reason
