"""Errors of the I/O layer, named after the side at fault, as in h11.

``LocalError``: this process or its input is at fault; a retry fails again. ``RemoteError``: the other side or the
network is at fault; a retry may succeed. Disk errors are raised as the ``OSError`` of the system call.
"""

from __future__ import annotations

from lynxscale.exceptions import LynxscaleError


class LocalError(LynxscaleError):
    """Base of errors of which this process or its input is the cause."""


class SettingsError(LocalError):
    """The settings cannot be used; the message has one finding per line, each with the file and the field."""


class StartError(LocalError):
    """A process cannot start: what it needs was not available in time. A later start may succeed."""


class StartCancelledError(LocalError):
    """SIGTERM has ended a start."""


class ReadOnlyFolderError(LocalError, OSError):
    """A write to a folder that was opened for reading only."""


class RemoteError(LynxscaleError):
    """Base of errors of which the other side or the network is the cause."""


class InvalidRequestError(RemoteError):
    """A client's request cannot be handled; it is answered with ``status``."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NoResponseError(RemoteError):
    """The server at ``address`` sent no complete response; the message is ``reason``."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(reason)
        self.address = address
        self.reason = reason
